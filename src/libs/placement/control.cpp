#include "placement/control.h"

#include <algorithm>

namespace Placement {

namespace {

using lw::placement::PlacementMessage;

// A report covers half of the flow idle time, and four are sent in that period, so that a flow is
// still reported if three consecutive reports are lost.
constexpr int kReportsPerIdleTime = 8;
constexpr int kReportWindowDivisor = 2;
constexpr Base::Duration kMinUsageInterval = 500ms;

void
SendUsage(ServiceControl& aControl,
          Base::InstanceId aSelf,
          Base::InstanceId aPublisher,
          const UsageSource& aUsage,
          Base::TimePoint aNow,
          TableEffects& aEffects)
{
  if (aNow < aControl.mNextUsageReport) {
    return;
  }
  const Base::Duration idle = aControl.mSettings.mFlowIdle;
  aControl.mNextUsageReport = aNow + std::max(idle / kReportsPerIdleTime, kMinUsageInterval);
  std::map<uint16_t, Base::TimePoint> used;
  aUsage(used);
  PlacementMessage message;
  message.set_generation(aControl.mCopy.mTable.mGeneration.mValue);
  *message.mutable_usage() = EncodeUsage(used, aNow - idle / kReportWindowDivisor);
  if (aPublisher == aSelf) {
    HandlePublisherMessage(aControl.mPublisher, aSelf, message, aNow);
    return;
  }
  aEffects.mSend.push_back({ aPublisher, std::move(message) });
}

} // namespace

ServiceControl
MakeServiceControl(Base::ServiceGeneration aGeneration, const Settings& aSettings)
{
  ServiceControl control;
  control.mSettings = aSettings;
  control.mCopy.mTable.mGeneration = aGeneration;
  return control;
}

absl::StatusOr<TableEffects>
HandleControlMessage(ServiceControl& aControl,
                     Base::InstanceId aSender,
                     const PlacementMessage& aMessage,
                     Base::TimePoint aNow)
{
  const bool isForPublisher =
    aMessage.has_confirm() || aMessage.has_usage() ||
    (aMessage.has_version_report() && !aMessage.version_report().from_publisher());
  if (isForPublisher) {
    HandlePublisherMessage(aControl.mPublisher, aSender, aMessage, aNow);
    return TableEffects();
  }
  return HandleTableMessage(aControl.mCopy, aSender, aMessage);
}

TableEffects
TickControl(ServiceControl& aControl,
            const Membership::View& aView,
            const UsageSource& aUsage,
            Base::TimePoint aNow)
{
  aControl.mUpstreams =
    UpdateUpstreams(aControl.mUpstreams, aView, aControl.mCopy.mTable.mGeneration, aNow);
  TableEffects effects = TickPublisher(
    aControl.mPublisher, aControl.mCopy, aView, aControl.mUpstreams, aControl.mSettings, aNow);
  const Membership::Member* publisher = PublisherMember(aView);
  if (publisher == nullptr) {
    return effects;
  }
  const bool hasTable = aControl.mCopy.mTable.mVersion.mEpoch > 0;
  if (!hasTable && publisher->mId != aView.mSelf && aNow >= aControl.mNextTableRequest) {
    aControl.mNextTableRequest = aNow + aControl.mSettings.mResendInterval;
    PlacementMessage message;
    message.set_generation(aControl.mCopy.mTable.mGeneration.mValue);
    message.mutable_table_request();
    effects.mSend.push_back({ publisher->mId, std::move(message) });
  }
  SendUsage(aControl, aView.mSelf, publisher->mId, aUsage, aNow, effects);
  return effects;
}

bool
IsControlMessage(const PlacementMessage& aMessage)
{
  switch (aMessage.body_case()) {
    case PlacementMessage::kCollect:
    case PlacementMessage::kRecords:
    case PlacementMessage::kPacket:
    case PlacementMessage::kAnswer:
      return false;
    default:
      return true;
  }
}

} // namespace Placement

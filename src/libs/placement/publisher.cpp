#include "placement/publisher.h"

#include "placement/fingerprint.h"

#include <algorithm>

namespace Placement {

namespace {

using lw::placement::PlacementMessage;

constexpr uint32_t kBitsPerByte = 8;

struct Context
{
  Publisher& mPublisher;
  TableCopy& mCopy;
  const Membership::View& mView;
  const Upstreams& mUpstreams;
  const Settings& mSettings;
  Base::TimePoint mNow;
  TableEffects mEffects;
};

void
Send(Context& aContext, Base::InstanceId aTo, PlacementMessage aMessage)
{
  aMessage.set_generation(aContext.mCopy.mTable.mGeneration.mValue);
  aContext.mEffects.mSend.push_back({ aTo, std::move(aMessage) });
}

void
Broadcast(Context& aContext, const PlacementMessage& aMessage)
{
  for (const Membership::Member& member : aContext.mView.mMembers) {
    if (member.mId != aContext.mView.mSelf) {
      Send(aContext, member.mId, aMessage);
    }
  }
}

void
EnterPhase(Context& aContext, PublisherPhase aPhase)
{
  aContext.mPublisher.mPhase = aPhase;
  aContext.mPublisher.mPhaseSince = aContext.mNow;
  aContext.mPublisher.mNextResend = aContext.mNow;
  aContext.mPublisher.mNextVersionReport = aContext.mNow;
}

bool
IsSelf(const Membership::View& aView, const Membership::Member* aMember)
{
  return aMember != nullptr && aMember->mId == aView.mSelf;
}

bool
IsDue(Base::TimePoint& aNext, Base::Duration aInterval, Base::TimePoint aNow)
{
  if (aNow < aNext) {
    return false;
  }
  aNext = aNow + aInterval;
  return true;
}

void
BroadcastPrepared(Context& aContext)
{
  PlacementMessage message;
  *message.mutable_prepare() = EncodePrepared(aContext.mCopy.mTable);
  for (const Membership::Member& member : aContext.mView.mMembers) {
    if (member.mId != aContext.mView.mSelf &&
        aContext.mPublisher.mConfirmed.count(member.mId) == 0) {
      Send(aContext, member.mId, message);
    }
  }
}

// The minimum time protects handshakes in progress, which exist only where new flows still go to
// the current upstream.
bool
NeedsMinPrepare(const Context& aContext, const PreparedChange& aChange)
{
  const SlotTable& table = aContext.mCopy.mTable;
  return std::any_of(aChange.mSlots.begin(), aChange.mSlots.end(), [&](const auto& aEntry) {
    const uint16_t current = table.mSlots[aEntry.first].mCurrent;
    if (current == kNoUpstream || current == aEntry.second.mTarget) {
      return false;
    }
    const UpstreamStatus* status = FindUpstream(aContext.mUpstreams, table.mUpstreams[current]);
    return status != nullptr && IsUsable(*status, aContext.mNow);
  });
}

void
StartChange(Context& aContext, PreparedChange aChange)
{
  Publisher& publisher = aContext.mPublisher;
  aChange.mVersion = { publisher.mEpoch, ++publisher.mCounter };
  publisher.mPreparedAt = aContext.mNow;
  publisher.mNeedsMinPrepare = NeedsMinPrepare(aContext, aChange);
  publisher.mConfirmed.clear();
  Prepare(aContext.mCopy.mTable, std::move(aChange));
  aContext.mEffects.mTableChanged = true;
  aContext.mEffects.mIsIncremental = true;
  publisher.mNextResend = aContext.mNow + aContext.mSettings.mResendInterval;
  BroadcastPrepared(aContext);
}

void
BecomePublisher(Context& aContext)
{
  Publisher& publisher = aContext.mPublisher;
  uint64_t highest = std::max(aContext.mCopy.mHighestEpoch, publisher.mHighestReported);
  for (const auto& [member, versions] : publisher.mReports) {
    highest = std::max({ highest, versions.first.mEpoch, versions.second.mEpoch });
  }
  publisher.mEpoch = MakeEpoch(highest, aContext.mView.mSelf);
  publisher.mCounter = 0;
  aContext.mCopy.mHighestEpoch = publisher.mEpoch;
  std::fill(publisher.mSlotLastUsed.begin(), publisher.mSlotLastUsed.end(), aContext.mNow);
  publisher.mUsageReports.clear();
  EnterPhase(aContext, PublisherPhase::Publishing);
  if (aContext.mCopy.mTable.mPrepared) {
    // An unreachable member may already have activated the change and placed flows accordingly, so
    // the change is completed rather than withdrawn.
    StartChange(aContext, *aContext.mCopy.mTable.mPrepared);
  }
}

void
TickSync(Context& aContext)
{
  Publisher& publisher = aContext.mPublisher;
  const SlotTable& table = aContext.mCopy.mTable;
  const Base::Duration elapsed = aContext.mNow - publisher.mPhaseSince;
  std::pair<TableVersion, TableVersion> newest = { table.mVersion, NewestVersion(table) };
  Base::InstanceId holder = aContext.mView.mSelf;
  for (const auto& [member, versions] : publisher.mReports) {
    if (newest < versions && Membership::FindMember(aContext.mView, member) != nullptr) {
      newest = versions;
      holder = member;
    }
  }
  const bool hasAll = std::all_of(aContext.mView.mMembers.begin(),
                                  aContext.mView.mMembers.end(),
                                  [&](const Membership::Member& aMember) {
                                    return aMember.mId == aContext.mView.mSelf ||
                                           publisher.mReports.count(aMember.mId) > 0;
                                  });
  const bool mayDecide = hasAll || elapsed >= aContext.mSettings.mCollectTimeout;
  if (mayDecide &&
      (holder == aContext.mView.mSelf || elapsed >= aContext.mSettings.mCollectTimeout * 2)) {
    BecomePublisher(aContext);
    return;
  }
  if (!IsDue(publisher.mNextResend, aContext.mSettings.mResendInterval, aContext.mNow)) {
    return;
  }
  PlacementMessage message;
  if (mayDecide) {
    message.mutable_table_request();
    Send(aContext, holder, std::move(message));
    return;
  }
  message.mutable_version_query();
  Broadcast(aContext, message);
}

void
TickPrepared(Context& aContext)
{
  Publisher& publisher = aContext.mPublisher;
  const Settings& settings = aContext.mSettings;
  const Base::Duration elapsed = aContext.mNow - publisher.mPreparedAt;
  const bool hasAll = std::all_of(aContext.mView.mMembers.begin(),
                                  aContext.mView.mMembers.end(),
                                  [&](const Membership::Member& aMember) {
                                    return aMember.mId == aContext.mView.mSelf ||
                                           publisher.mConfirmed.count(aMember.mId) > 0;
                                  });
  const Base::Duration minimum =
    settings.mHasOpeningMark ? settings.mMinPrepareTime : settings.mMinPrepareTimeWithoutMark;
  const bool isLongEnough = !publisher.mNeedsMinPrepare || elapsed >= minimum;
  if (!(hasAll && isLongEnough) && elapsed < settings.mPrepareTimeout) {
    if (IsDue(publisher.mNextResend, settings.mResendInterval, aContext.mNow)) {
      BroadcastPrepared(aContext);
    }
    return;
  }
  SlotTable& table = aContext.mCopy.mTable;
  for (const auto& [slot, change] : table.mPrepared->mSlots) {
    publisher.mSlotLastUsed[slot] = aContext.mNow;
  }
  Activate(table);
  aContext.mEffects.mTableChanged = true;
  aContext.mEffects.mIsIncremental = true;
  PlacementMessage message;
  *message.mutable_activate()->mutable_version() = Encode(table.mVersion);
  Broadcast(aContext, message);
}

std::vector<bool>
IdleSlots(const Context& aContext)
{
  const Publisher& publisher = aContext.mPublisher;
  std::vector<bool> idle(kSlots, false);
  const Base::TimePoint limit = aContext.mNow - aContext.mSettings.mFlowIdle;
  for (const Membership::Member& member : aContext.mView.mMembers) {
    const auto report = publisher.mUsageReports.find(member.mId);
    if (report == publisher.mUsageReports.end() || report->second < limit) {
      return idle;
    }
  }
  for (uint32_t slot = 0; slot < kSlots; ++slot) {
    idle[slot] = publisher.mSlotLastUsed[slot] <= limit;
  }
  return idle;
}

// After a partition, members of the other side may have a table with a higher epoch. They reject
// this publisher's messages and reply with their version.
bool
HasSeenNewerPublisher(const Context& aContext)
{
  const Publisher& publisher = aContext.mPublisher;
  return std::max(aContext.mCopy.mHighestEpoch, publisher.mHighestReported) > publisher.mEpoch;
}

void
TickPublishing(Context& aContext)
{
  Publisher& publisher = aContext.mPublisher;
  SlotTable& table = aContext.mCopy.mTable;
  if (HasSeenNewerPublisher(aContext)) {
    publisher.mReports.clear();
    EnterPhase(aContext, PublisherPhase::Syncing);
    return;
  }
  if (table.mPrepared) {
    TickPrepared(aContext);
  } else if (aContext.mNow - publisher.mStableSince >= aContext.mSettings.mStableMembershipTime) {
    std::optional<PreparedChange> change = PlanChange(
      table, aContext.mUpstreams, IdleSlots(aContext), aContext.mSettings, aContext.mNow);
    if (change) {
      AddPlannedUpstreams(table, aContext.mUpstreams);
      StartChange(aContext, std::move(*change));
    }
  }
  if (IsDue(publisher.mNextVersionReport, aContext.mSettings.mReportInterval, aContext.mNow)) {
    PlacementMessage message;
    lw::placement::VersionReport& report = *message.mutable_version_report();
    *report.mutable_active() = Encode(table.mVersion);
    *report.mutable_prepared() = Encode(NewestVersion(table));
    report.set_from_publisher(true);
    Broadcast(aContext, message);
  }
}

} // namespace

const Membership::Member*
PublisherMember(const Membership::View& aView)
{
  for (const Membership::Member& member : aView.mMembers) {
    if (member.mState == Membership::MemberState::Alive) {
      return &member;
    }
  }
  return nullptr;
}

void
HandlePublisherMessage(Publisher& aPublisher,
                       Base::InstanceId aSender,
                       const PlacementMessage& aMessage,
                       Base::TimePoint aNow)
{
  if (aMessage.has_confirm()) {
    const TableVersion prepared = { aPublisher.mEpoch, aPublisher.mCounter };
    if (!(Decode(aMessage.confirm().version()) < prepared)) {
      aPublisher.mConfirmed.insert(aSender);
    }
  } else if (aMessage.has_version_report() && !aMessage.version_report().from_publisher()) {
    const lw::placement::VersionReport& report = aMessage.version_report();
    aPublisher.mReports[aSender] = { Decode(report.active()), Decode(report.prepared()) };
    aPublisher.mHighestReported = std::max(aPublisher.mHighestReported, report.highest_epoch());
  } else if (aMessage.has_usage()) {
    aPublisher.mUsageReports[aSender] = aNow;
    const std::string& used = aMessage.usage().used();
    for (uint32_t slot = 0; slot < kSlots && slot / kBitsPerByte < used.size(); ++slot) {
      const auto byte = static_cast<uint8_t>(used[slot / kBitsPerByte]);
      if ((byte >> (slot % kBitsPerByte) & 1U) != 0) {
        aPublisher.mSlotLastUsed[slot] = aNow;
      }
    }
  }
}

TableEffects
TickPublisher(Publisher& aPublisher,
              TableCopy& aCopy,
              const Membership::View& aView,
              const Upstreams& aUpstreams,
              const Settings& aSettings,
              Base::TimePoint aNow)
{
  Context context = { aPublisher, aCopy, aView, aUpstreams, aSettings, aNow, {} };
  const uint64_t membership = MembershipFingerprint(aView);
  if (membership != aPublisher.mMembershipFingerprint) {
    aPublisher.mMembershipFingerprint = membership;
    aPublisher.mStableSince = aNow;
  }
  if (!IsSelf(aView, PublisherMember(aView))) {
    aPublisher.mPhase = PublisherPhase::Standby;
    return {};
  }
  if (aPublisher.mPhase == PublisherPhase::Standby) {
    if (aNow - aPublisher.mStableSince < aSettings.mStableMembershipTime) {
      return {};
    }
    aPublisher.mReports.clear();
    EnterPhase(context, PublisherPhase::Syncing);
  }
  if (aPublisher.mPhase == PublisherPhase::Syncing) {
    TickSync(context);
  } else {
    TickPublishing(context);
  }
  return std::move(context.mEffects);
}

lw::placement::SlotUsage
EncodeUsage(const std::map<uint16_t, Base::TimePoint>& aUsed, Base::TimePoint aSince)
{
  std::string bits(kSlots / kBitsPerByte, '\0');
  bool any = false;
  for (const auto& [slot, lastUsed] : aUsed) {
    if (lastUsed > aSince) {
      any = true;
      char& byte = bits[slot / kBitsPerByte];
      byte = static_cast<char>(static_cast<uint8_t>(byte) | (1U << (slot % kBitsPerByte)));
    }
  }
  lw::placement::SlotUsage usage;
  if (any) {
    usage.set_used(bits);
  }
  return usage;
}

} // namespace Placement

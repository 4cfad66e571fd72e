#include "fleetmodel.h"

#include "fleetmodelconstants.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <set>
#include <string>
#include <utility>

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds kTimeStep{ 10 };
constexpr uint64_t kUpstreamIds = 6;
constexpr uint32_t kAddresses = 5;
constexpr milliseconds kAnnounceInterval{ 1200 };
constexpr milliseconds kSilenceTimeout = 3 * kAnnounceInterval;
constexpr milliseconds kLease = 4 * kAnnounceInterval;
constexpr seconds kAddressReuseDelay{ 2 };
const std::array<std::string, 2> kZones{ "a", "b" };
/// Maximum time for which a control instance lags behind the evacuations. Short enough for an entry
/// instance that misses a few replies to learn of them within kEvacuationBound.
constexpr uint64_t kMaxLagMs = 2000;

lw::config::State
WithVersion(lw::config::State aState, uint64_t aVersion)
{
  lw::config::Declaration& declaration = *aState.mutable_declaration();
  declaration.set_version(aVersion);
  declaration.clear_routes();
  lw::config::Route* route = declaration.add_routes();
  route->set_address(kRoute.mAddress);
  route->set_port(kRoute.mPort);
  route->add_services()->set_service(aVersion % 3 == 0 ? "feed" : "desk");
  route->mutable_services(0)->set_weight(1);
  aState.set_version(aState.version() + 1);
  return aState;
}

} // namespace

FleetModel::FleetModel(uint64_t aSeed, ModelFault aFault, bool aHasEvacuations)
  : mRandom{ aSeed }
  , mFlowRandom{ ~aSeed }
  , mEvacuationRandom{ aSeed ^ 0x45766163 }
  , mFault(aFault)
  , mHasEvacuations(aHasEvacuations)
  , mControls(kControls)
  , mEntries(kEntries)
{
  mSettings.mAvailabilityZone = "a";
  mSettings.mLease = kLease;
  mSettings.mMaxConfigAge = kApplyBound / 2;
  mSettings.mOpeningLifetime = milliseconds(1400);
  mLog.push_back(WithVersion({}, 1));
  mCommittedAt.push_back(mNow);
  for (Control& control : mControls) {
    control.mTable.mEpoch = mNextEpoch++;
    ApplyLog(control);
  }
  for (Entry& entry : mEntries) {
    RestartEntry(entry);
  }
}

void
FleetModel::Run(Base::Duration aDuration)
{
  const Base::TimePoint end = mNow + aDuration;
  while (mNow < end && mViolation.empty()) {
    ++mSteps;
    mNow += kTimeStep;
    DriveUpstreams();
    DriveControl();
    DriveEvacuations();
    DriveEntries();
    DriveFlows();
  }
}

bool
FleetModel::RandomEvent(uint64_t aPerMillion)
{
  return Base::NextBelow(mRandom, kMillion) < aPerMillion;
}

bool
FleetModel::RandomEvacuationEvent(uint64_t aPerMillion)
{
  return Base::NextBelow(mEvacuationRandom, kMillion) < aPerMillion;
}

Base::Duration
FleetModel::RandomDelay(uint64_t aMaxMs)
{
  return milliseconds(Base::NextBelow(mRandom, aMaxMs + 1));
}

void
FleetModel::StartUpstream()
{
  const uint64_t id = 1 + Base::NextBelow(mRandom, kUpstreamIds);
  const auto address = static_cast<uint32_t>(1 + Base::NextBelow(mRandom, kAddresses));
  for (const Start& other : mStarts) {
    const Directory::Upstream& upstream = other.mAnnouncement.mUpstream;
    const bool sameAddress = upstream.mAddress.mAddress == address;
    if ((other.mAlive && (sameAddress || upstream.mId.mValue == id)) ||
        (sameAddress && mNow - other.mEndsAt < kAddressReuseDelay)) {
      return;
    }
  }
  Start start;
  Directory::Upstream& upstream = start.mAnnouncement.mUpstream;
  upstream.mId = Directory::UpstreamId(id);
  upstream.mStartedAtMs = mStarts.size() + 1;
  upstream.mAddress = { address, 8080 };
  // A restarted upstream with the same id still belongs to the same service.
  upstream.mService = id % 2 == 0 ? "desk" : "feed";
  upstream.mAvailabilityZone = kZones[Base::NextBelow(mRandom, kZones.size())];
  upstream.mSlots = kSlots;
  start.mStartedAt = mNow;
  start.mNextAnnouncementAt = mNow;
  mStarts.push_back(start);
}

void
FleetModel::DriveUpstreams()
{
  if (RandomEvent(20000)) {
    StartUpstream();
  }
  for (size_t i = 0; i < mStarts.size(); ++i) {
    Start& start = mStarts[i];
    if (!start.mAlive) {
      continue;
    }
    Directory::Upstream& upstream = start.mAnnouncement.mUpstream;
    const bool left = start.mAcknowledgedAt != Base::TimePoint() && mNow >= start.mEndsAt;
    if (left || RandomEvent(200)) {
      start.mAlive = false;
      start.mEndsAt = mNow;
      continue;
    }
    if (upstream.mState == Directory::State::Ready && RandomEvent(600)) {
      upstream.mState = Directory::State::Draining;
      start.mNextAnnouncementAt = mNow;
    }
    // An upstream sends no more announcements once its departure is acknowledged.
    const bool acknowledged = start.mAcknowledgedAt != Base::TimePoint();
    if (mNow >= start.mNextAnnouncementAt && !acknowledged) {
      const bool unanswered = upstream.mState == Directory::State::Draining;
      start.mNextAnnouncementAt = mNow + (unanswered ? kAnnounceInterval / 4 : kAnnounceInterval);
      SendAnnouncement(i);
    }
  }
}

void
FleetModel::SendAnnouncement(size_t aStart)
{
  Start& start = mStarts[aStart];
  ++start.mAnnouncement.mSequence;
  const Message message{ Base::NextBelow(mRandom, kControls), aStart, start.mAnnouncement };
  if (RandomEvent(kMillion / 20)) {
    mMessages.emplace(mNow + RandomDelay(8000), message);
  }
  if (!RandomEvent(kMillion / 20)) {
    mMessages.emplace(mNow + RandomDelay(20), message);
  }
}

void
FleetModel::Deliver(const Message& aMessage)
{
  Control& control = mControls[aMessage.mControl];
  if (!control.mRunning) {
    return;
  }
  Directory::Announcement announcement = aMessage.mAnnouncement;
  Directory::Upstream& upstream = announcement.mUpstream;
  if (mFault == ModelFault::IgnoreStartTime) {
    upstream.mStartedAtMs = 1;
  }
  const auto known = control.mTable.mUpstreams.find(upstream.mId);
  if (mFault == ModelFault::AcceptLateAnnouncements && known != control.mTable.mUpstreams.end()) {
    control.mTable.mByRevision.erase(known->second.mReportedRevision);
    control.mTable.mUpstreams.erase(known);
  }
  Directory::Announce(control.mTable, announcement, mNow);
  if (upstream.mState == Directory::State::Ready) {
    return;
  }
  lw::config::Departure departure;
  departure.set_upstream(upstream.mId.mValue);
  departure.set_started_at_ms(upstream.mStartedAtMs);
  Directory::MarkDeparted(control.mTable, departure, mNow);
  if (mFault != ModelFault::AckBeforeCommit) {
    Commit(departure);
  }
  Start& start = mStarts[aMessage.mStart];
  if (start.mAlive && start.mAcknowledgedAt == Base::TimePoint()) {
    ++mDepartures;
    start.mAcknowledgedAt = mNow;
    start.mEndsAt = mNow + kDrainBound + RandomDelay(15000);
  }
}

void
FleetModel::Commit(const lw::config::Departure& aDeparture)
{
  for (const lw::config::Departure& known : mLog.back().departures()) {
    if (known.upstream() == aDeparture.upstream() &&
        known.started_at_ms() == aDeparture.started_at_ms()) {
      return;
    }
  }
  lw::config::State next = mLog.back();
  *next.add_departures() = aDeparture;
  next.set_version(next.version() + 1);
  mLog.push_back(std::move(next));
  mCommittedAt.push_back(mNow);
}

void
FleetModel::Declare()
{
  ++mVersions;
  mLog.push_back(WithVersion(mLog.back(), mLog.back().declaration().version() + 1));
  mCommittedAt.push_back(mNow);
}

void
FleetModel::ApplyLog(Control& aControl)
{
  // The latest entries may not have been replicated yet.
  size_t applied = mLog.size();
  while (applied > 1 && mNow - mCommittedAt[applied - 1] < RandomDelay(100)) {
    --applied;
  }
  if (applied <= aControl.mApplied) {
    return;
  }
  aControl.mApplied = applied;
  const lw::config::State& state = mLog[applied - 1];
  for (const lw::config::Departure& departure : state.departures()) {
    Directory::MarkDeparted(aControl.mTable, departure, mNow);
  }
  Directory::RemoveDepartedUpstreams(aControl.mTable, state, mNow);
  Directory::AddVersion(aControl.mRoutes, state.declaration());
}

void
FleetModel::DriveControl()
{
  if (RandomEvent(1000)) {
    Declare();
  }
  const bool allRunning = std::all_of(
    mControls.begin(), mControls.end(), [](const Control& aControl) { return aControl.mRunning; });
  if (allRunning && RandomEvent(700)) {
    Control& control = mControls[Base::NextBelow(mRandom, kControls)];
    control = Control();
    control.mTable.mEpoch = mNextEpoch++;
    control.mRunning = false;
    control.mRestartsAt = mNow + RandomDelay(3000);
    mLastControlFaultAt = mNow;
  }
  for (Control& control : mControls) {
    if (!control.mRunning && mNow >= control.mRestartsAt) {
      control.mRunning = true;
      mLastControlFaultAt = mNow;
    }
    if (control.mRunning) {
      Directory::MarkSilent(control.mTable, kSilenceTimeout, mNow);
      Directory::RemoveSilentUpstreams(control.mTable, mNow);
      ApplyLog(control);
    }
  }
  while (!mMessages.empty() && mMessages.begin()->first <= mNow) {
    const Message message = mMessages.begin()->second;
    mMessages.erase(mMessages.begin());
    Deliver(message);
  }
}

void
FleetModel::ChangeEvacuations()
{
  ++mEvacuations;
  const std::string& zone = kZones[Base::NextBelow(mEvacuationRandom, kZones.size())];
  lw::config::State next = mLog.back();
  lw::config::Evacuations& evacuations = *next.mutable_evacuations();
  std::set<std::string> zones(evacuations.availability_zones().begin(),
                              evacuations.availability_zones().end());
  if (zones.erase(zone) == 0) {
    zones.insert(zone);
  }
  evacuations.set_revision(evacuations.revision() + 1);
  evacuations.mutable_availability_zones()->Assign(zones.begin(), zones.end());
  next.set_version(next.version() + 1);
  mLog.push_back(std::move(next));
  mCommittedAt.push_back(mNow);
}

void
FleetModel::DriveEvacuations()
{
  // An evacuation ends sooner than the next one begins, so that most flows can be served.
  const bool evacuated = !mLog.back().evacuations().availability_zones().empty();
  if (mHasEvacuations && RandomEvacuationEvent(evacuated ? 2000 : 600)) {
    ChangeEvacuations();
  }
  for (Control& control : mControls) {
    const bool restarted = control.mApplied > 0 && control.mReportedEvacuations == 0;
    if (restarted) {
      // The instance has restarted with an older state.
      control.mReportedEvacuations = Base::NextBelow(mEvacuationRandom, control.mApplied);
    }
    if (restarted || RandomEvacuationEvent(500)) {
      control.mLagsUntil = mNow + milliseconds(Base::NextBelow(mEvacuationRandom, kMaxLagMs));
    }
    if (control.mRunning && mNow >= control.mLagsUntil && control.mApplied > 0) {
      control.mReportedEvacuations = control.mApplied - 1;
    }
  }
}

bool
FleetModel::IsEvacuationDue(const std::string& aZone) const
{
  for (size_t i = mLog.size(); i-- > 0;) {
    const auto& zones = mLog[i].evacuations().availability_zones();
    if (std::find(zones.begin(), zones.end(), aZone) == zones.end()) {
      return false;
    }
    if (mNow - mCommittedAt[i] > kEvacuationBound) {
      return true;
    }
  }
  return false;
}

void
FleetModel::ReportViolation(const std::string& aViolation)
{
  if (mViolation.empty()) {
    mViolation = aViolation;
  }
}

#include "outlierzone.h"

#include <algorithm>
#include <utility>

using std::chrono::milliseconds;
using Steering::Action;
using Steering::PacketKind;

namespace {

constexpr uint32_t kServiceAddress = 0x0a000001;
constexpr uint16_t kNonIdempotentPort = 80;
constexpr uint16_t kIdempotentPort = 81;
constexpr uint32_t kSlots = 2;
/// New flows of the zone, and the probability that a caller sends another request on its flow.
constexpr double kNewFlowsPerMs = 0.26;
constexpr double kKeptFlows = 0.5;
constexpr milliseconds kPauseOnFlow{ 60 };
constexpr milliseconds kRoundTrip{ 4 };
constexpr milliseconds kMinRequestTime{ 20 };
constexpr milliseconds kRequestTimeSpread{ 39 };
constexpr milliseconds kTickInterval{ 100 };
constexpr milliseconds kReleaseInterval{ 10 };

void
AddRoute(lw::fleet::RouteUpdate& aUpdate, uint16_t aPort, lw::config::RequestKind aKind)
{
  lw::config::Route* route = aUpdate.add_routes();
  route->set_address(kServiceAddress);
  route->set_port(aPort);
  route->set_kind(aKind);
  lw::config::WeightedService* service = route->add_services();
  service->set_service("desk");
  service->set_weight(1);
}

} // namespace

OutlierZone::OutlierZone(uint64_t aSeed, const OutlierBehavior& aBehavior)
  : mEntries(kEntries)
  , mBehavior(aBehavior)
  , mRandom{ aSeed }
  , mStoppedUntil(kEntries)
  , mIncarnations(kEntries)
  , mSequences(kEntries)
{
  mSettings.mAvailabilityZone = "a";
  mSettings.mLease = std::chrono::hours(1);
  mSettings.mOpeningLifetime = milliseconds(1400);
  for (size_t entry = 0; entry < kEntries; ++entry) {
    StartEntry(entry);
    const auto phase = static_cast<int64_t>(entry);
    At(milliseconds(phase * 2), [this, entry] { DriveEntry(entry); });
    At(milliseconds(phase * 3), [this, entry] { SendReport(entry); });
  }
}

void
OutlierZone::StartEntry(size_t aEntry)
{
  Steering::State& entry = mEntries[aEntry];
  entry = Steering::State();
  entry.mRandom.mState = Base::NextRandom(mRandom);
  entry.mInstances = kEntries;
  entry.mInstance = static_cast<uint32_t>(aEntry) + 1;
  entry.mPins.mSelf = entry.mInstance;
  entry.mOutliers.mEnabled = mBehavior.mHasEjection;
  ++mIncarnations[aEntry];
  lw::fleet::PollReply reply;
  reply.set_connected(true);
  reply.mutable_routes()->set_version(1);
  AddRoute(*reply.mutable_routes(), kNonIdempotentPort, lw::config::NON_IDEMPOTENT);
  AddRoute(*reply.mutable_routes(), kIdempotentPort, lw::config::IDEMPOTENT);
  for (size_t i = 0; i < mBehavior.mUpstreams; ++i) {
    lw::fleet::Upstream* upstream = reply.add_upstreams();
    upstream->set_id(i + 1);
    upstream->set_started_at_ms(1);
    upstream->set_address(static_cast<uint32_t>(i + 1));
    upstream->set_port(8080);
    upstream->set_service("desk");
    upstream->set_availability_zone("a");
    upstream->set_slots(kSlots);
    upstream->set_state(lw::fleet::READY);
    mUpstreamByTag[Directory::TagOf(Directory::UpstreamId(i + 1), 1).mValue] = i;
  }
  Steering::ApplyPollReply(entry, Base::InstanceId(1), reply, mNow);
}

void
OutlierZone::At(milliseconds aDelay, std::function<void()> aEvent)
{
  mEvents.emplace(mNow + aDelay, std::move(aEvent));
}

void
OutlierZone::RunFor(milliseconds aDuration)
{
  for (const Base::TimePoint end = mNow + aDuration; mNow < end; mNow += milliseconds(1)) {
    if (Base::NextUnit(mRandom) < kNewFlowsPerMs) {
      OpenFlow();
    }
    while (!mEvents.empty() && mEvents.begin()->first <= mNow) {
      const std::function<void()> event = std::move(mEvents.begin()->second);
      mEvents.erase(mEvents.begin());
      event();
    }
    for (size_t entry = 0;
         (mNow - mStart) % kReleaseInterval == milliseconds(0) && entry < kEntries;
         ++entry) {
      for (const Steering::ReleasedPacket& released :
           Steering::ReleaseOpenings(mEntries[entry], mSettings, mNow)) {
        Execute(released.mFlow.mCaller.mAddress, released.mDecision);
      }
    }
  }
}

void
OutlierZone::Kill(size_t aEntry)
{
  mStoppedUntil[aEntry] = Base::TimePoint::max();
}

void
OutlierZone::Restart(size_t aEntry)
{
  mStoppedUntil[aEntry] = mNow;
  mSequences[aEntry] = 0;
  StartEntry(aEntry);
}

void
OutlierZone::Freeze(size_t aEntry, milliseconds aDuration)
{
  mStoppedUntil[aEntry] = mNow + aDuration;
}

bool
OutlierZone::IsRunning(size_t aEntry) const
{
  return mNow >= mStoppedUntil[aEntry];
}

bool
OutlierZone::InFault() const
{
  const Base::Duration elapsed = mNow - mStart;
  return elapsed >= mBehavior.mFaultFrom && elapsed < mBehavior.mFaultUntil;
}

void
OutlierZone::OpenFlow()
{
  Flow flow;
  do {
    flow.mEntry = Base::NextBelow(mRandom, kEntries);
  } while (!IsRunning(flow.mEntry));
  flow.mIsRepeatable = Base::NextUnit(mRandom) >= kNonIdempotent;
  mFlows.push_back(flow);
  const size_t number = mFlows.size() - 1;
  Execute(number, Send(number, PacketKind::Opening, false));
}

void
OutlierZone::Execute(size_t aFlow, const Steering::Decision& aDecision)
{
  if (aDecision.mAction == Action::Forward) {
    mFlows[aFlow].mTag = aDecision.mTag;
    mServed.push_back(
      { std::chrono::duration_cast<milliseconds>(mNow - mStart), UpstreamOf(aDecision.mTag) });
    At(kRoundTrip, [this, aFlow] { SendRequest(aFlow); });
  } else if (aDecision.mAction != Action::Hold) {
    ++mUnserved;
  }
}

size_t
OutlierZone::UpstreamOf(Directory::RouteTag aTag) const
{
  return mUpstreamByTag.at(aTag.mValue);
}

Steering::Decision
OutlierZone::Send(size_t aFlow, PacketKind aKind, bool aCarriesData)
{
  Flow& flow = mFlows[aFlow];
  Steering::Packet packet;
  packet.mFlow = { { static_cast<uint32_t>(aFlow), 1000 },
                   { kServiceAddress, flow.mIsRepeatable ? kIdempotentPort : kNonIdempotentPort } };
  packet.mKind = aKind;
  packet.mTag = flow.mTag;
  packet.mCarriesData = aCarriesData;
  packet.mSequence =
    aKind == PacketKind::Opening || !aCarriesData ? flow.mSequence : ++flow.mSequence;
  packet.mDatagram = "packet";
  return IsRunning(flow.mEntry) ? Steering::Steer(mEntries[flow.mEntry], mSettings, packet, mNow)
                                : Steering::Decision();
}

void
OutlierZone::SendRequest(size_t aFlow)
{
  if (!IsRunning(mFlows[aFlow].mEntry)) {
    return;
  }
  ++mRequests;
  Send(aFlow, PacketKind::MidFlow, true);
  const bool faulty = InFault() && UpstreamOf(mFlows[aFlow].mTag) < mBehavior.mFaulty;
  if (faulty && Base::NextUnit(mRandom) < mBehavior.mUnanswered) {
    ++mLost;
    mLostNonIdempotent += mFlows[aFlow].mIsRepeatable ? 0 : 1;
    return;
  }
  milliseconds duration =
    kMinRequestTime + milliseconds(Base::NextBelow(mRandom, kRequestTimeSpread.count()));
  duration *= InFault() ? mBehavior.mSlowdown : 1;
  At(duration, [this, aFlow] { Answer(aFlow); });
}

void
OutlierZone::Answer(size_t aFlow)
{
  if (Base::NextUnit(mRandom) < mBehavior.mUnseen) {
    return;
  }
  if (Base::NextUnit(mRandom) >= kKeptFlows) {
    Send(aFlow, PacketKind::Closing, false);
    return;
  }
  Send(aFlow, PacketKind::MidFlow, false);
  At(kPauseOnFlow, [this, aFlow] { SendRequest(aFlow); });
}

void
OutlierZone::DriveEntry(size_t aEntry)
{
  At(kTickInterval, [this, aEntry] { DriveEntry(aEntry); });
  if (!IsRunning(aEntry)) {
    return;
  }
  Steering::State& entry = mEntries[aEntry];
  Steering::Expire(entry, mNow);
  const auto changes = Steering::UpdateOutliers(
    entry.mOutliers, entry.mLoads, entry.mDirectory, entry.mRoutes, entry.mInstances, mNow);
  for (const Steering::OutlierChange& change : changes) {
    mEjections += change.mIsEjected ? 1 : 0;
  }
  mMostEjected = std::max(mMostEjected, Steering::CountEjected(entry.mOutliers));
}

void
OutlierZone::SendReport(size_t aEntry)
{
  const Base::Duration interval = Steering::ReportInterval(kEntries);
  const auto intervalMs = std::chrono::duration_cast<milliseconds>(interval);
  At(intervalMs, [this, aEntry] { SendReport(aEntry); });
  if (!IsRunning(aEntry)) {
    return;
  }
  lw::fleet::LoadReport report = Steering::MakePeerReport(mEntries[aEntry], mNow);
  report.set_instance(mEntries[aEntry].mInstance);
  report.set_incarnation(mIncarnations[aEntry]);
  report.set_sequence(++mSequences[aEntry]);
  report.set_interval_ms(static_cast<uint32_t>(intervalMs.count()));
  for (size_t peer = 0; peer < kEntries; ++peer) {
    if (peer != aEntry && IsRunning(peer)) {
      Steering::ApplyPeerReport(mEntries[peer], report, mNow);
    }
  }
}

size_t
OutlierZone::InstancesThatEjected(size_t aUpstream) const
{
  const Directory::RouteTag tag = Directory::TagOf(Directory::UpstreamId(aUpstream + 1), 1);
  return std::count_if(mEntries.begin(), mEntries.end(), [&](const Steering::State& aEntry) {
    const auto found = aEntry.mOutliers.mByTag.find(tag);
    return found != aEntry.mOutliers.mByTag.end() && found->second.mEjection.has_value();
  });
}

double
OutlierZone::ShareSince(size_t aUpstream, milliseconds aSince) const
{
  size_t all = 0;
  size_t own = 0;
  for (const Served& served : mServed) {
    if (served.mAt >= aSince) {
      ++all;
      own += served.mUpstream == aUpstream ? 1 : 0;
    }
  }
  return static_cast<double>(own) / static_cast<double>(std::max<size_t>(all, 1));
}

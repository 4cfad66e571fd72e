#include "measure/floodrunstate.h"

#include "base/hash.h"

#include <cmath>

namespace Measure {

namespace {

constexpr Base::TimePoint kRunStart(std::chrono::seconds(1000));
// Excluded from the results: slow start ends and the estimates converge in this time.
constexpr Base::Duration kWarmUp = std::chrono::seconds(15);
constexpr uint32_t kMinFlows = 8;
// Approximate number of connections of all hosts, see docs/design.md.
constexpr uint32_t kMaxFlows = 60000;
// Requests per second that a caller sends on one flow.
constexpr double kRequestRatePerFlow = 0.2;

double
ToSeconds(Base::Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

bool
IsOutsideFlood(const Flood& aFlood, const std::string& aKind, const std::string& aClient)
{
  if (aFlood.mClient.empty()) {
    return aFlood.mKind != aKind;
  }
  return aFlood.mClient != aClient;
}

void
AddStream(RunState& aState, uint32_t aKind, const std::string& aClient, double aSlots, bool aFlood)
{
  const FloodKind& kind = aState.mPlan.mService.mKinds[aKind];
  const uint64_t number = aState.mStreams.size();
  Stream stream;
  stream.mKind = aKind;
  stream.mClient = aClient;
  stream.mRate = aSlots / ToSeconds(kind.mMeanServiceTime);
  stream.mArrivals.mState = Base::StableHash({ aState.mPlan.mSeed, number, 1 });
  stream.mServices.mState = Base::StableHash({ aState.mPlan.mSeed, number, 2 });
  stream.mFirst = (aFlood ? aState.mStart : aState.mNow) + NextPause(stream);
  const double flows = stream.mRate / kRequestRatePerFlow;
  stream.mFlows.resize(std::clamp(static_cast<uint32_t>(flows), kMinFlows, kMaxFlows));
  aState.mStreams.push_back(stream);
  StreamResult result;
  result.mKind = kind.mPolicy.mName;
  result.mClient = aClient;
  result.mIsOutsideFlood = !aFlood && IsOutsideFlood(aState.mPlan.mFlood, result.mKind, aClient);
  aState.mResult.mStreams.push_back(result);
}

// Random sources are seeded by stream index. Regular streams come first so that they are identical
// with and without a flood.
void
AddStreams(RunState& aState)
{
  constexpr double kPermille = 1000;
  const FloodService& service = aState.mPlan.mService;
  const Flood& flood = aState.mPlan.mFlood;
  const double slots = service.mHosts * service.mSlots;
  for (uint32_t kind = 0; kind < service.mKinds.size(); ++kind) {
    const double share = service.mKinds[kind].mPolicy.mSharePermille / kPermille;
    for (const Admission::Policy::Client& client : service.mClients) {
      const double part = client.mSharePermille / kPermille;
      AddStream(aState, kind, client.mName, aState.mPlan.mLoad * share * part * slots, false);
    }
  }
  if (flood.mFactor <= 0) {
    return;
  }
  for (uint32_t kind = 0; kind < service.mKinds.size(); ++kind) {
    const Admission::Policy::Kind& policy = service.mKinds[kind].mPolicy;
    if (!flood.mClient.empty()) {
      const double share = policy.mSharePermille / kPermille;
      AddStream(aState, kind, flood.mClient, flood.mFactor * share * slots, true);
      continue;
    }
    if (policy.mName != flood.mKind) {
      continue;
    }
    for (const Admission::Policy::Client& client : service.mClients) {
      const auto clients = static_cast<double>(service.mClients.size());
      AddStream(aState, kind, client.mName, flood.mFactor * slots / clients, true);
    }
  }
}

void
PrepareFaults(RunState& aState)
{
  for (const Fault& fault : aState.mPlan.mFaults) {
    if (fault.mKind == FaultKind::Drain || fault.mKind == FaultKind::ColdStart) {
      aState.mIsPartlyAbsent[fault.mIndex] = true;
    }
    if (fault.mKind == FaultKind::ColdStart) {
      aState.mRouter.mTakesNewWork[fault.mIndex] = false;
    }
    if (fault.mKind == FaultKind::NoReport) {
      aState.mReportsSuppressed[fault.mIndex] = true;
    }
  }
}

void
PrepareHosts(RunState& aState)
{
  const FloodService& service = aState.mPlan.mService;
  const uint32_t hosts = service.mHosts;
  UpstreamScheduler scheduler;
  scheduler.mControl = aState.mControl;
  scheduler.mSlots = service.mSlots;
  aState.mSchedulers.assign(hosts, scheduler);
  FakeUpstream upstream;
  upstream.mSlots = service.mSlots;
  aState.mUpstreams.assign(hosts, upstream);
  aState.mSchedulerGenerations.assign(hosts, 0);
  aState.mDispatched.resize(hosts);
  aState.mLost.assign(hosts, false);
  aState.mReportsSuppressed.assign(hosts, false);
  aState.mHungUntil.assign(hosts, Base::TimePoint());
  aState.mRanByHost.assign(hosts, 0);
  aState.mIsPartlyAbsent.assign(hosts, false);
  aState.mDispatchers.resize(hosts);
  for (uint32_t host = 0; host < hosts; ++host) {
    aState.mDispatchers[host] = SelectDispatcher(aState, host);
  }
}

} // namespace

RunState
MakeRunState(const FloodPlan& aPlan, AdmissionControl aControl)
{
  RunState state;
  state.mPlan = aPlan;
  state.mControl = aControl;
  for (const FloodKind& kind : aPlan.mService.mKinds) {
    state.mPolicy.mKinds.push_back(kind.mPolicy);
  }
  state.mPolicy.mClients = aPlan.mService.mClients;
  state.mNow = kRunStart;
  state.mStart = kRunStart + kWarmUp;
  state.mEnd = state.mStart + aPlan.mService.mDuration;
  state.mRouter = MakeRouter(aPlan.mService.mHosts, aPlan.mSeed);
  PrepareHosts(state);
  PrepareFaults(state);
  AddStreams(state);
  return state;
}

void
Schedule(RunState& aState, Base::TimePoint aAt, EventKind aKind, uint64_t aIndex)
{
  aState.mEvents.push({ aAt, aState.mNextEvent++, aKind, aIndex });
}

Base::Duration
NextPause(Stream& aStream)
{
  const double pause = -std::log(1 - Base::NextUnit(aStream.mArrivals)) / aStream.mRate;
  return std::chrono::duration_cast<Base::Duration>(std::chrono::duration<double>(pause));
}

uint32_t
SelectDispatcher(const RunState& aState, uint32_t aHost)
{
  uint32_t best = AvailabilityZoneOf(aHost);
  uint64_t bestScore = 0;
  for (uint32_t instance = 0; instance < kInstances; ++instance) {
    const uint64_t score = Base::StableHash({ aHost, instance });
    if (AvailabilityZoneOf(instance) == AvailabilityZoneOf(aHost) &&
        aState.mRouter.mReceivesPackets[instance] && score > bestScore) {
      best = instance;
      bestScore = score;
    }
  }
  return best;
}

} // namespace Measure

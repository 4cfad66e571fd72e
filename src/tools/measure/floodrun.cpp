#include "measure/floodrun.h"

#include "measure/floodrunstate.h"

namespace Measure {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Base::Duration kTickInterval = milliseconds(50);
constexpr Base::Duration kReportInterval = seconds(1);
// Time for a drain to reach all instances.
constexpr Base::Duration kDrainPropagationTime = seconds(1);
// Time until the fabric stops delivering to a lost instance.
constexpr Base::Duration kFabricUpdateTime = seconds(1);
// Time until a lost instance is declared dead and its upstreams are assigned a new dispatcher.
constexpr Base::Duration kTakeoverTime = seconds(5);
constexpr double kSlowHostFactor = 5;

void
HandleArrival(RunState& aState, uint32_t aStream)
{
  Stream& stream = aState.mStreams[aStream];
  if (aState.mNow >= aState.mEnd) {
    return;
  }
  SendRequest(aState, aStream);
  const Base::Duration pause = NextPause(stream);
  Schedule(aState, aState.mNow + pause, EventKind::Arrival, aStream);
}

void
HandleTick(RunState& aState)
{
  for (uint32_t host = 0; host < aState.mSchedulers.size(); ++host) {
    if (aState.mLost[host]) {
      continue;
    }
    ExpireDispatched(aState, host);
    Apply(aState, host, TickScheduler(aState.mSchedulers[host], aState.mPolicy, aState.mNow));
  }
  if (aState.mNow < aState.mEnd || aState.mOpenRequests > 0) {
    Schedule(aState, aState.mNow + kTickInterval, EventKind::Tick, 0);
  }
}

void
HandleReport(RunState& aState, uint32_t aHost)
{
  UpstreamScheduler& scheduler = aState.mSchedulers[aHost];
  const bool present = aState.mRouter.mTakesNewWork[aHost] || Load(aState.mUpstreams[aHost]) > 0;
  if (scheduler.mControl == AdmissionControl::Policy && present &&
      !aState.mReportsSuppressed[aHost] && !aState.mLost[aHost]) {
    const uint32_t load = Load(aState.mUpstreams[aHost]);
    Admission::Report(
      scheduler.mPolicyScheduler, aState.mUpstreams[aHost].mSlots, load, aState.mNow);
  }
  if (aState.mNow < aState.mEnd) {
    Schedule(aState, aState.mNow + kReportInterval, EventKind::Report, aHost);
  }
}

void
LoseInstance(RunState& aState, uint32_t aHost)
{
  const uint32_t instance = aState.mDispatchers[aHost];
  for (uint32_t host = 0; host < aState.mSchedulers.size(); ++host) {
    if (aState.mDispatchers[host] == instance) {
      aState.mLost[host] = true;
      ++aState.mSchedulerGenerations[host];
      FailOpenRequests(aState, host);
      Schedule(aState, aState.mNow + kTakeoverTime, EventKind::Takeover, host);
    }
  }
  Schedule(aState, aState.mNow + kFabricUpdateTime, EventKind::FabricUpdate, instance);
}

void
HandleTakeover(RunState& aState, uint32_t aHost)
{
  aState.mLost[aHost] = false;
  aState.mDispatchers[aHost] = SelectDispatcher(aState, aHost);
  UpstreamScheduler& scheduler = aState.mSchedulers[aHost];
  scheduler = UpstreamScheduler{ scheduler.mControl, scheduler.mSlots, {}, {}, {} };
}

void
StartFault(RunState& aState, const Fault& aFault)
{
  switch (aFault.mKind) {
    case FaultKind::Drain:
      Schedule(aState, aState.mNow + kDrainPropagationTime, EventKind::Withdraw, aFault.mIndex);
      return;
    case FaultKind::ColdStart:
      aState.mRouter.mTakesNewWork[aFault.mIndex] = true;
      aState.mRouter.mColdSince[aFault.mIndex] = aState.mNow;
      aState.mUpstreams[aFault.mIndex].mColdSince = aState.mNow;
      return;
    case FaultKind::SlowHost:
      aState.mUpstreams[aFault.mIndex].mSlowness = kSlowHostFactor;
      return;
    case FaultKind::NoReport:
      // Applied before the run by PrepareFaults, so that it covers the first report too.
      return;
    case FaultKind::Hang:
      aState.mHungUntil[aFault.mIndex] = aState.mStart + aFault.mUntil;
      return;
    case FaultKind::InstanceLost:
      LoseInstance(aState, aFault.mIndex);
      return;
    case FaultKind::AvailabilityZoneCut:
      aState.mRouter.mPartitionedZone = aFault.mIndex;
      return;
  }
}

void
EndFault(RunState& aState, const Fault& aFault)
{
  if (aFault.mKind == FaultKind::SlowHost) {
    aState.mUpstreams[aFault.mIndex].mSlowness = 1;
  } else if (aFault.mKind == FaultKind::AvailabilityZoneCut) {
    aState.mRouter.mPartitionedZone.reset();
  }
}

void
HandleEvent(RunState& aState, const Event& aEvent)
{
  switch (aEvent.mKind) {
    case EventKind::Arrival:
      return HandleArrival(aState, static_cast<uint32_t>(aEvent.mIndex));
    case EventKind::Offer:
      return OfferRequest(aState, aEvent.mIndex);
    case EventKind::Done:
      return HandleDone(aState, aEvent.mIndex);
    case EventKind::Tick:
      return HandleTick(aState);
    case EventKind::Report:
      return HandleReport(aState, static_cast<uint32_t>(aEvent.mIndex));
    case EventKind::FaultStart:
      return StartFault(aState, aState.mPlan.mFaults[aEvent.mIndex]);
    case EventKind::FaultEnd:
      return EndFault(aState, aState.mPlan.mFaults[aEvent.mIndex]);
    case EventKind::Withdraw:
      aState.mRouter.mTakesNewWork[aEvent.mIndex] = false;
      return;
    case EventKind::FabricUpdate:
      aState.mRouter.mReceivesPackets[aEvent.mIndex] = false;
      return;
    case EventKind::Takeover:
      return HandleTakeover(aState, static_cast<uint32_t>(aEvent.mIndex));
  }
}

void
ScheduleStart(RunState& aState)
{
  for (uint32_t stream = 0; stream < aState.mStreams.size(); ++stream) {
    Schedule(aState, aState.mStreams[stream].mFirst, EventKind::Arrival, stream);
  }
  for (uint32_t host = 0; host < aState.mSchedulers.size(); ++host) {
    // Staggers the reports of the hosts.
    Schedule(aState, aState.mNow + milliseconds(70) * host, EventKind::Report, host);
  }
  Schedule(aState, aState.mNow, EventKind::Tick, 0);
  for (uint32_t i = 0; i < aState.mPlan.mFaults.size(); ++i) {
    const Fault& fault = aState.mPlan.mFaults[i];
    const Base::TimePoint from = std::max(aState.mNow, aState.mStart + fault.mFrom);
    Schedule(aState, from, EventKind::FaultStart, i);
    Schedule(aState, aState.mStart + fault.mUntil, EventKind::FaultEnd, i);
  }
}

} // namespace

FloodResult
RunFlood(const FloodPlan& aPlan, AdmissionControl aControl)
{
  RunState state = MakeRunState(aPlan, aControl);
  ScheduleStart(state);
  while (!state.mEvents.empty()) {
    const Event event = state.mEvents.top();
    state.mEvents.pop();
    state.mNow = event.mAt;
    HandleEvent(state, event);
  }
  for (uint32_t host = 0; host < state.mSchedulers.size(); ++host) {
    if (!state.mIsPartlyAbsent[host]) {
      state.mResult.mRequestsByHost.push_back(static_cast<double>(state.mRanByHost[host]));
    }
  }
  return state.mResult;
}

} // namespace Measure

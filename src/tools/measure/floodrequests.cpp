#include "base/random.h"
#include "measure/floodrunstate.h"

#include <cmath>

namespace Measure {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr Base::Duration kClientDelay = milliseconds(1);
constexpr Base::Duration kHopWithinZone = microseconds(200);
constexpr Base::Duration kHopBetweenZones = microseconds(1500);
constexpr int kOpeningAttempts = 3;
constexpr double kMaxServiceFactor = 5;

bool
IsMeasured(const RunState& aState, const Request& aRequest)
{
  return aRequest.mSent >= aState.mStart && aRequest.mSent < aState.mEnd;
}

Base::TimePoint
DeadlineOf(const RunState& aState, const Request& aRequest)
{
  const Stream& stream = aState.mStreams[aRequest.mStream];
  return aRequest.mSent + aState.mPlan.mService.mKinds[stream.mKind].mDeadline;
}

// Service times are half constant and half exponentially distributed around the mean.
Base::Duration
DrawServiceTime(Stream& aStream, Base::Duration aMean)
{
  const double factor = 0.5 - 0.5 * std::log(1 - Base::NextUnit(aStream.mServices));
  const double bounded = std::min(factor, kMaxServiceFactor);
  return Base::Duration(static_cast<int64_t>(static_cast<double>(aMean.count()) * bounded));
}

CallerFlow&
FlowOf(RunState& aState, const Request& aRequest)
{
  return aState.mStreams[aRequest.mStream].mFlows[aRequest.mFlow];
}

// Ends a request as failed and counts it under the reason.
void
Fail(RunState& aState, uint64_t aId, const std::string& aReason, bool aCloseFlow)
{
  Request& request = aState.mRequests[aId];
  request.mState = RequestState::Ended;
  --aState.mOpenRequests;
  if (aCloseFlow) {
    FlowOf(aState, request).mRequestsLeft = 0;
  }
  if (IsMeasured(aState, request)) {
    ++aState.mResult.mRefusals[aReason];
    if (aState.mResult.mStreams[request.mStream].mIsOutsideFlood) {
      ++aState.mResult.mRefusalsOutsideFlood[aReason];
    }
  }
}

bool
OpenFlow(RunState& aState, CallerFlow& aFlow, uint32_t aRequests)
{
  aFlow.mReachableZone =
    AvailabilityZoneOf(static_cast<uint32_t>(Base::NextBelow(aState.mRouter.mRandom, kInstances)));
  for (int attempt = 0; attempt < kOpeningAttempts; ++attempt) {
    const uint32_t instance = SelectReceivingInstance(aState.mRouter, aFlow.mReachableZone);
    const auto host =
      RouteFlow(aState.mRouter, instance, aState.mPlan.mService.mSlots, aState.mNow);
    if (!host) {
      continue;
    }
    // A dispatcher refuses new flows to a hung upstream. A lost dispatcher does not reply.
    const bool opened =
      !aState.mLost[*host] && !Admission::IsHung(aState.mSchedulers[*host].mPolicyScheduler);
    RecordOpening(aState.mRouter, instance, *host, opened, aState.mNow);
    if (opened) {
      aFlow.mHost = *host;
      aFlow.mRequestsLeft = aRequests;
      return true;
    }
  }
  return false;
}

// Opens a flow for the request if necessary and sends the request to the dispatcher of the flow.
void
Route(RunState& aState, uint64_t aId)
{
  Request& request = aState.mRequests[aId];
  CallerFlow& flow = FlowOf(aState, request);
  const uint32_t kind = aState.mStreams[request.mStream].mKind;
  const bool isRoundRobin = aState.mControl == AdmissionControl::RoundRobin;
  if (!isRoundRobin && flow.mRequestsLeft == 0 &&
      !OpenFlow(aState, flow, aState.mPlan.mService.mKinds[kind].mRequestsForFlow)) {
    Fail(aState, aId, "no upstream", true);
    return;
  }
  const uint32_t instance = SelectReceivingInstance(aState.mRouter, flow.mReachableZone);
  if (isRoundRobin) {
    const auto host = RouteRoundRobin(aState.mRouter, instance);
    if (!host) {
      Fail(aState, aId, "no upstream", true);
      return;
    }
    flow.mHost = *host;
  } else {
    --flow.mRequestsLeft;
  }
  request.mHost = flow.mHost;
  const bool isSameZone = AvailabilityZoneOf(instance) == AvailabilityZoneOf(flow.mHost);
  const Base::Duration hop = isSameZone ? kHopWithinZone : kHopBetweenZones;
  Schedule(aState, aState.mNow + kClientDelay + hop, EventKind::Offer, aId);
}

bool
IsReachable(const RunState& aState, const Request& aRequest)
{
  const uint32_t reachableZone =
    aState.mStreams[aRequest.mStream].mFlows[aRequest.mFlow].mReachableZone;
  return !aState.mLost[aRequest.mHost] &&
         IsConnected(aState.mRouter, reachableZone, AvailabilityZoneOf(aRequest.mHost));
}

void
ScheduleDone(RunState& aState, uint64_t aId)
{
  Request& request = aState.mRequests[aId];
  const Base::TimePoint start = std::max(aState.mNow, aState.mHungUntil[request.mHost]);
  request.mStarted = aState.mNow;
  if (IsMeasured(aState, request)) {
    StreamResult& result = aState.mResult.mStreams[request.mStream];
    result.mLongestQueueWait = std::max(result.mLongestQueueWait, aState.mNow - request.mSent);
  }
  request.mDone = start + SlotTime(aState.mUpstreams[request.mHost], request.mService, aState.mNow);
  Schedule(aState, request.mDone, EventKind::Done, aId);
}

void
FinishAndApply(RunState& aState, uint64_t aId, Admission::WorkOutcome aOutcome)
{
  const Request& request = aState.mRequests[aId];
  const uint32_t host = request.mHost;
  if (request.mSchedulerGeneration == aState.mSchedulerGenerations[host]) {
    aState.mDispatched[host].erase(aId);
    Apply(
      aState, host, FinishAt(aState.mSchedulers[host], aState.mPolicy, aId, aOutcome, aState.mNow));
  }
}

// Frees a slot and starts the next request from the backlog. The upstream skips requests whose
// deadline has passed.
void
FreeSlot(RunState& aState, uint32_t aHost, uint64_t aId)
{
  std::optional<uint64_t> next = End(aState.mUpstreams[aHost], aId);
  while (next && aState.mNow >= DeadlineOf(aState, aState.mRequests[*next])) {
    next = End(aState.mUpstreams[aHost], *next);
  }
  if (next) {
    ScheduleDone(aState, *next);
  }
}

void
CountSlotTime(RunState& aState, const Request& aRequest, bool aUseful)
{
  if (IsMeasured(aState, aRequest)) {
    const std::chrono::duration<double> used = aState.mNow - aRequest.mStarted;
    aState.mResult.mUsedSeconds += used.count();
    aState.mResult.mWastedSeconds += aUseful ? 0 : used.count();
  }
}

void
SendToUpstream(RunState& aState, uint32_t aHost, uint64_t aId)
{
  Request& request = aState.mRequests[aId];
  request.mState = RequestState::Dispatched;
  request.mSchedulerGeneration = aState.mSchedulerGenerations[aHost];
  aState.mDispatched[aHost].insert(aId);
  const Acceptance acceptance = Accept(aState.mUpstreams[aHost], aId);
  if (acceptance == Acceptance::Shed) {
    Fail(aState, aId, "shed", false);
    FinishAndApply(aState, aId, Admission::WorkOutcome::Shed);
    return;
  }
  aState.mRanByHost[aHost] += IsMeasured(aState, request) ? 1 : 0;
  if (acceptance == Acceptance::Started) {
    ScheduleDone(aState, aId);
  }
}

const char*
ReasonName(Admission::RefusalReason aReason)
{
  switch (aReason) {
    case Admission::RefusalReason::QueueFull:
      return "queue full";
    case Admission::RefusalReason::DeadlineTooShort:
      return "deadline too short";
    case Admission::RefusalReason::DeadlinePassed:
      return "deadline passed";
    case Admission::RefusalReason::UpstreamHung:
      return "upstream hung";
  }
  return "";
}

void
Refuse(RunState& aState, const Admission::Refused& aRefused)
{
  Request& request = aState.mRequests[aRefused.mId];
  const bool hung = aRefused.mReason == Admission::RefusalReason::UpstreamHung;
  if (hung && !request.mRetried) {
    // The request was not run, so the caller can safely retry it on a new flow.
    request.mRetried = true;
    FlowOf(aState, request).mRequestsLeft = 0;
    Route(aState, aRefused.mId);
    return;
  }
  Fail(aState, aRefused.mId, ReasonName(aRefused.mReason), hung);
}

} // namespace

void
SendRequest(RunState& aState, uint32_t aStream)
{
  Stream& stream = aState.mStreams[aStream];
  Request request;
  request.mStream = aStream;
  request.mFlow = static_cast<uint32_t>(Base::NextBelow(stream.mArrivals, stream.mFlows.size()));
  request.mSent = aState.mNow;
  request.mService =
    DrawServiceTime(stream, aState.mPlan.mService.mKinds[stream.mKind].mMeanServiceTime);
  aState.mRequests.push_back(request);
  ++aState.mOpenRequests;
  aState.mResult.mStreams[aStream].mOffered += IsMeasured(aState, request) ? 1 : 0;
  Route(aState, aState.mRequests.size() - 1);
}

void
OfferRequest(RunState& aState, uint64_t aId)
{
  const Request& request = aState.mRequests[aId];
  if (request.mState == RequestState::Ended) {
    return;
  }
  if (!IsReachable(aState, request)) {
    Fail(aState, aId, "unreachable", true);
    return;
  }
  const Stream& stream = aState.mStreams[request.mStream];
  const Admission::WorkItem item{ aId,
                                  aState.mPlan.mService.mKinds[stream.mKind].mPolicy.mName,
                                  stream.mClient,
                                  DeadlineOf(aState, request) };
  const uint32_t host = request.mHost;
  Apply(aState, host, OfferTo(aState.mSchedulers[host], aState.mPolicy, item, aState.mNow));
}

void
HandleDone(RunState& aState, uint64_t aId)
{
  Request& request = aState.mRequests[aId];
  const uint32_t host = request.mHost;
  if (aState.mUpstreams[host].mRunning.count(aId) == 0 || request.mDone != aState.mNow) {
    return;
  }
  if (aState.mNow < aState.mHungUntil[host]) {
    request.mDone = aState.mHungUntil[host];
    Schedule(aState, request.mDone, EventKind::Done, aId);
    return;
  }
  const bool current = request.mSchedulerGeneration == aState.mSchedulerGenerations[host];
  const bool waiting = request.mState == RequestState::Dispatched;
  const Base::TimePoint received = aState.mNow + kClientDelay;
  const bool inTime =
    waiting && current && received <= DeadlineOf(aState, request) && IsReachable(aState, request);
  CountSlotTime(aState, request, inTime);
  if (inTime) {
    request.mState = RequestState::Ended;
    --aState.mOpenRequests;
    if (IsMeasured(aState, request)) {
      StreamResult& result = aState.mResult.mStreams[request.mStream];
      const std::chrono::duration<double, std::milli> latency = received - request.mSent;
      ++result.mAnswered;
      if (result.mIsOutsideFlood) {
        result.mLatenciesMs.push_back(latency.count());
      }
    }
  } else if (waiting) {
    Fail(aState, aId, current ? "timed out" : "instance lost", true);
  }
  FreeSlot(aState, host, aId);
  FinishAndApply(aState, aId, Admission::WorkOutcome::Answered);
}

void
FailOpenRequests(RunState& aState, uint32_t aHost)
{
  aState.mDispatched[aHost].clear();
  for (uint64_t id = 0; id < aState.mRequests.size(); ++id) {
    const Request& request = aState.mRequests[id];
    if (request.mHost == aHost && request.mState != RequestState::Ended) {
      Fail(aState, id, "instance lost", true);
    }
  }
}

void
ExpireDispatched(RunState& aState, uint32_t aHost)
{
  const std::set<uint64_t> dispatched = aState.mDispatched[aHost];
  for (const uint64_t id : dispatched) {
    const Request& request = aState.mRequests[id];
    if (request.mState != RequestState::Dispatched || aState.mNow < DeadlineOf(aState, request)) {
      continue;
    }
    Fail(aState, id, "timed out", true);
    if (aState.mControl == AdmissionControl::RoundRobin) {
      aState.mDispatched[aHost].erase(id);
      continue;
    }
    // The dispatcher cancels the request. A hung upstream does not react to the cancellation.
    if (aState.mNow >= aState.mHungUntil[aHost]) {
      if (aState.mUpstreams[aHost].mRunning.count(id) > 0) {
        CountSlotTime(aState, request, false);
      }
      FreeSlot(aState, aHost, id);
    }
    FinishAndApply(aState, id, Admission::WorkOutcome::TimedOut);
  }
}

void
Apply(RunState& aState, uint32_t aHost, const Admission::Effects& aEffects)
{
  for (const Admission::Refused& refused : aEffects.mRefuse) {
    Refuse(aState, refused);
  }
  for (const Admission::WorkItem& item : aEffects.mDispatch) {
    SendToUpstream(aState, aHost, item.mId);
  }
}

} // namespace Measure

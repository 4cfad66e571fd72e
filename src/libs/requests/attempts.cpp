#include "requests/attempts.h"

#include "requests/completion.h"
#include "requests/policy.h"
#include "requests/replies.h"

#include "upstream.pb.h"

#include <chrono>

namespace Requests::Internal {

namespace {

using std::chrono::milliseconds;

// Limits a request to three dispatches in total.
constexpr uint32_t kMaxRetries = 2;
// The delay gives the upstream time to free a slot; the jitter spreads retries over time.
constexpr milliseconds kRetryDelay{ 10 };
constexpr uint64_t kRetryJitterMs = 40;

Event
ToEvent(Admission::RefusalReason aReason)
{
  switch (aReason) {
    case Admission::RefusalReason::QueueFull:
      return Event::RefuseQueueFull;
    case Admission::RefusalReason::DeadlineTooShort:
      return Event::RefuseDeadlineTooShort;
    case Admission::RefusalReason::UpstreamHung:
      return Event::RefuseUpstreamHung;
    case Admission::RefusalReason::DeadlinePassed:
      break;
  }
  return Event::RefuseDeadlinePassed;
}

void
SendWork(HandlerContext& aHandler, const Call& aCall, const Flow& aFlow, uint64_t aNumber)
{
  const auto left = std::chrono::ceil<milliseconds>(aCall.mDeadline - aHandler.mContext.mNow);
  lw::upstream::ToUpstream packet;
  lw::upstream::Work& message = *packet.mutable_work();
  message.mutable_id()->set_incarnation(aHandler.mState.mSelf.mIncarnation.mValue);
  message.mutable_id()->set_number(aNumber);
  message.set_kind(aCall.mKind);
  message.set_deadline_ms(static_cast<uint32_t>(left.count()));
  message.set_body(aCall.mBody);
  aHandler.mEffects.mToUpstreams.push_back(
    { aCall.mUpstream.mEndpoint, aFlow.mAddresses, packet.SerializeAsString() });
  CountEvent(aHandler.mEffects, Event::Dispatched);
}

/// Dispatches an attempt selected by the scheduler.
/// \return false if it must not run; the caller then has to report it to the scheduler as finished.
bool
DispatchAttempt(HandlerContext& aHandler, uint64_t aNumber)
{
  State& state = aHandler.mState;
  const auto found = state.mAttempts.find(aNumber);
  if (found == state.mAttempts.end()) {
    return false;
  }
  const CallKey key = found->second.mCall;
  Call& call = state.mCalls.at(key);
  const Base::TimePoint now = aHandler.mContext.mNow;
  const Flow* flow = FindFlow(state.mFlows, key.mFlow);
  const auto queue = state.mQueues.find(call.mUpstream);
  const bool isUsable =
    queue != state.mQueues.end() && TakesRequests(queue->second, call.mUpstream, aHandler.mContext);
  if (flow == nullptr || !isUsable || call.mDeadline <= now) {
    const bool isLate = call.mDeadline <= now;
    DropAttempt(state, call, aNumber);
    if (call.mAttempts.empty()) {
      EndRefused(aHandler, key, isLate ? Event::RefuseDeadlinePassed : Event::RefuseUpstreamGone);
    }
    return false;
  }
  found->second.mIsRunning = true;
  found->second.mStarted = now;
  state.mRunning.insert(aNumber);
  RecordState(state, key, RequestState::Dispatched, Event::None);
  SendWork(aHandler, call, *flow, aNumber);
  return true;
}

void
HandleSchedulerRefusal(HandlerContext& aHandler, const Admission::Refused& aRefused)
{
  const auto found = aHandler.mState.mAttempts.find(aRefused.mId);
  if (found == aHandler.mState.mAttempts.end() || found->second.mIsRunning) {
    return; // Already dispatched; the refusal comes too late.
  }
  const CallKey key = found->second.mCall;
  Call& call = aHandler.mState.mCalls.at(key);
  const Flow* flow = FindFlow(aHandler.mState.mFlows, key.mFlow);
  if (flow != nullptr && aRefused.mReason == Admission::RefusalReason::QueueFull) {
    CountClientRequest(aHandler.mState.mClients, { flow->mGeneration, flow->mClient }, true);
  }
  DropAttempt(aHandler.mState, call, aRefused.mId);
  // An attempt is removed from an open call only if the upstream or the scheduler refused it, so a
  // call without attempts has not run.
  if (call.mAttempts.empty()) {
    EndRefused(aHandler, key, ToEvent(aRefused.mReason));
  }
}

} // namespace

UpstreamQueue*
FindOrCreateQueue(HandlerContext& aHandler, const UpstreamKey& aKey, const Base::Endpoint& aService)
{
  const auto& services = aHandler.mContext.mServices.mByAddress;
  const auto service = services.find(aService);
  if (service == services.end() || service->second->mGeneration != aKey.mGeneration) {
    return nullptr;
  }
  const auto [entry, isNew] = aHandler.mState.mQueues.try_emplace(aKey);
  if (isNew || entry->second.mService != service->second) {
    SetPolicy(entry->second, service->second, aHandler.mState.mClients);
  }
  if (isNew) {
    ReportUpstream(entry->second, aKey, aHandler.mContext);
    UpdateDraining(entry->second, aKey, aHandler.mContext, true);
  }
  return TakesRequests(entry->second, aKey, aHandler.mContext) ? &entry->second : nullptr;
}

void
OfferCall(HandlerContext& aHandler, const CallKey& aKey)
{
  State& state = aHandler.mState;
  Call& call = state.mCalls.at(aKey);
  state.mWaiting.erase(aKey);
  const Flow* flow = FindFlow(state.mFlows, aKey.mFlow);
  UpstreamQueue* queue = flow == nullptr
                           ? nullptr
                           : FindOrCreateQueue(aHandler, call.mUpstream, flow->mAddresses.mService);
  if (queue == nullptr) {
    if (call.mAttempts.empty()) {
      EndRefused(aHandler, aKey, Event::RefuseUpstreamGone);
    }
    return;
  }
  const uint64_t number = (static_cast<uint64_t>(state.mShard) << 48U) | state.mNextWork++;
  Attempt attempt;
  attempt.mCall = aKey;
  state.mAttempts.emplace(number, std::move(attempt));
  call.mAttempts.push_back(number);
  ++queue->mOpenAttempts;
  Admission::WorkItem item;
  item.mId = number;
  item.mKind = call.mKind;
  item.mClient = flow->mClient;
  item.mDeadline = call.mDeadline;
  aHandler.mSchedulerEffects.emplace_back(
    call.mUpstream,
    Admission::Offer(queue->mScheduler, queue->mPolicy, item, aHandler.mContext.mNow));
}

void
SuspendCall(State& aState, const CallKey& aKey)
{
  aState.mCalls.at(aKey).mResumeAt = Base::TimePoint::max();
  aState.mWaiting.insert(aKey);
}

bool
WithdrawCall(State& aState, const CallKey& aKey)
{
  Call& call = aState.mCalls.at(aKey);
  const std::vector<uint64_t> numbers = call.mAttempts;
  for (uint64_t number : numbers) {
    const auto queue = aState.mQueues.find(call.mUpstream);
    if (!aState.mAttempts.at(number).mIsRunning && queue != aState.mQueues.end() &&
        Admission::Withdraw(queue->second.mScheduler, number)) {
      DropAttempt(aState, call, number);
    }
  }
  return call.mAttempts.empty();
}

void
HandleShed(HandlerContext& aHandler, uint64_t aNumber)
{
  State& state = aHandler.mState;
  const CallKey key = state.mAttempts.at(aNumber).mCall;
  Call& call = state.mCalls.at(key);
  const UpstreamKey upstream = call.mUpstream;
  DropAttempt(state, call, aNumber);
  FinishInScheduler(aHandler, upstream, aNumber, Admission::WorkOutcome::Shed);
  if (!call.mAttempts.empty()) {
    return;
  }
  const Base::TimePoint now = aHandler.mContext.mNow;
  const bool isHandedOver = state.mHandover.mIsLeaving && state.mHandover.mSuccessor.has_value();
  if (call.mIsCanceled) {
    EndRefused(aHandler, key, Event::RefuseCanceled);
  } else if (isHandedOver) {
    RecordState(state, key, RequestState::Queued, Event::None);
    SuspendCall(state, key);
  } else if (call.mRetries < kMaxRetries && TakeRetryFromBudget(aHandler, call)) {
    ++call.mRetries;
    RecordState(state, key, RequestState::Queued, Event::None);
    const milliseconds jitter(Base::NextBelow(aHandler.mContext.mRandom, kRetryJitterMs));
    call.mResumeAt = now + kRetryDelay + jitter;
    state.mWaiting.insert(key);
  } else {
    EndRefused(aHandler, key, Event::RefuseShed);
  }
}

void
ApplySchedulerEffects(HandlerContext& aHandler)
{
  while (!aHandler.mSchedulerEffects.empty()) {
    const auto [upstream, schedulerEffects] = std::move(aHandler.mSchedulerEffects.front());
    aHandler.mSchedulerEffects.pop_front();
    for (const Admission::Refused& refused : schedulerEffects.mRefuse) {
      HandleSchedulerRefusal(aHandler, refused);
    }
    for (const Admission::WorkItem& item : schedulerEffects.mDispatch) {
      if (!DispatchAttempt(aHandler, item.mId)) {
        FinishInScheduler(aHandler, upstream, item.mId, Admission::WorkOutcome::Canceled);
      }
    }
  }
}

} // namespace Requests::Internal

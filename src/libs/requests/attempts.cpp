#include "requests/attempts.h"

#include "requests/policy.h"
#include "requests/replies.h"

#include <algorithm>

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
RecordState(State& aState, const CallKey& aKey, RequestState aRequestState, Event aReason)
{
  Flow* flow = FindFlow(aState.mFlows, aKey.mFlow);
  WindowEntry* entry = flow == nullptr ? nullptr : FindEntry(flow->mWindow, aKey.mNumber);
  if (entry == nullptr) {
    return;
  }
  // A reused request number stays marked as such until the request is refused.
  const bool isReused = entry->mReason == Event::UnknownNumberReused;
  entry->mState = aRequestState;
  if (!isReused || aRequestState == RequestState::Refused) {
    entry->mReason = aReason;
  }
}

void
FinishInScheduler(HandlerContext& aHandler,
                  const UpstreamKey& aUpstream,
                  uint64_t aNumber,
                  Admission::WorkOutcome aOutcome)
{
  const auto queue = aHandler.mState.mQueues.find(aUpstream);
  if (queue != aHandler.mState.mQueues.end()) {
    aHandler.mSchedulerEffects.emplace_back(aUpstream,
                                            Admission::Finish(queue->second.mScheduler,
                                                              queue->second.mPolicy,
                                                              aNumber,
                                                              aOutcome,
                                                              aHandler.mContext.mNow));
  }
}

/// Removes an attempt from all state except the scheduler.
void
DropAttempt(State& aState, Call& aCall, uint64_t aNumber)
{
  const auto attempt = aState.mAttempts.find(aNumber);
  aState.mAssemblyBytes -= attempt->second.mAnswer.mBytes;
  aState.mAttempts.erase(attempt);
  aState.mRunning.erase(aNumber);
  auto& numbers = aCall.mAttempts;
  numbers.erase(std::remove(numbers.begin(), numbers.end(), aNumber), numbers.end());
  const auto queue = aState.mQueues.find(aCall.mUpstream);
  if (queue != aState.mQueues.end()) {
    --queue->second.mOpenAttempts;
  }
}

/// Ends all attempts of a call and removes the call.
void
EndCall(HandlerContext& aHandler,
        const CallKey& aKey,
        uint64_t aAnswered,
        Admission::WorkOutcome aOutcome)
{
  State& state = aHandler.mState;
  Call& call = state.mCalls.at(aKey);
  const std::vector<uint64_t> numbers = call.mAttempts;
  for (uint64_t number : numbers) {
    const bool isRunning = state.mAttempts.at(number).mIsRunning;
    const auto queue = state.mQueues.find(call.mUpstream);
    DropAttempt(state, call, number);
    if (isRunning) {
      const bool hasAnswered = number == aAnswered;
      FinishInScheduler(aHandler,
                        call.mUpstream,
                        number,
                        hasAnswered ? Admission::WorkOutcome::Answered : aOutcome);
    } else if (queue != state.mQueues.end()) {
      Admission::Withdraw(queue->second.mScheduler, number);
    }
  }
  RemoveCall(state, aKey);
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

lw::caller::Outcome
RefusalOutcome(Event aReason, bool aIsRepeatable)
{
  const bool needsFlow = aReason == Event::RefuseUpstreamGone && aIsRepeatable;
  return needsFlow ? lw::caller::FLOW_GONE : lw::caller::NOT_RUN;
}

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
EndRefused(HandlerContext& aHandler, const CallKey& aKey, Event aReason)
{
  const Call& call = aHandler.mState.mCalls.at(aKey);
  const lw::caller::Outcome outcome = RefusalOutcome(aReason, call.mIsRepeatable);
  RecordState(aHandler.mState, aKey, RequestState::Refused, aReason);
  EndCall(aHandler, aKey, kNoAttempt, Admission::WorkOutcome::Canceled);
  const Flow* flow = FindFlow(aHandler.mState.mFlows, aKey.mFlow);
  if (flow != nullptr) {
    Refuse(aHandler.mEffects, flow->mAddresses, aKey.mFlow, aKey.mNumber, outcome, aReason);
  }
}

void
EndUnknown(HandlerContext& aHandler, const CallKey& aKey, Event aReason)
{
  CancelRunning(aHandler, aKey, kNoAttempt);
  RecordState(aHandler.mState, aKey, RequestState::Unknown, aReason);
  const bool isTimeout = aReason == Event::UnknownDeadlinePassed;
  EndCall(aHandler,
          aKey,
          kNoAttempt,
          isTimeout ? Admission::WorkOutcome::TimedOut : Admission::WorkOutcome::Canceled);
  const Flow* flow = FindFlow(aHandler.mState.mFlows, aKey.mFlow);
  if (flow != nullptr) {
    Refuse(aHandler.mEffects,
           flow->mAddresses,
           aKey.mFlow,
           aKey.mNumber,
           lw::caller::OUTCOME_UNKNOWN,
           aReason);
  }
}

void
EndAnswered(HandlerContext& aHandler, const CallKey& aKey, uint64_t aNumber)
{
  State& state = aHandler.mState;
  std::vector<std::string> pieces = std::move(state.mAttempts.at(aNumber).mAnswer.mPieces);
  Flow* flow = FindFlow(state.mFlows, aKey.mFlow);
  const WindowEntry* entry = flow == nullptr ? nullptr : FindEntry(flow->mWindow, aKey.mNumber);
  CancelRunning(aHandler, aKey, aNumber);
  if (entry != nullptr && entry->mReason == Event::UnknownNumberReused) {
    RecordState(state, aKey, RequestState::Unknown, Event::UnknownNumberReused);
    EndCall(aHandler, aKey, aNumber, Admission::WorkOutcome::Canceled);
    return;
  }
  if (flow != nullptr) {
    SendAnswer(aHandler.mEffects, flow->mAddresses, aKey.mFlow, aKey.mNumber, pieces);
    CountEvent(aHandler.mEffects, Event::Answered);
  }
  RecordState(state, aKey, RequestState::Answered, Event::None);
  EndCall(aHandler, aKey, aNumber, Admission::WorkOutcome::Canceled);
  const Settings& settings = aHandler.mContext.mSettings;
  const size_t used = std::min(aHandler.mContext.mLimits.mMaxAnswerBytes, state.mAssemblyBytes);
  StoreAnswer(state.mAnswers,
              aKey,
              std::move(pieces),
              aHandler.mContext.mLimits.mMaxAnswerBytes - used,
              aHandler.mContext.mNow + settings.mAnswerLife);
}

void
RemoveCall(State& aState, const CallKey& aKey)
{
  aState.mCalls.erase(aKey);
  aState.mWaiting.erase(aKey);
  Flow* flow = FindFlow(aState.mFlows, aKey.mFlow);
  if (flow != nullptr) {
    --flow->mOpenCalls;
  }
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
CancelRunning(HandlerContext& aHandler, const CallKey& aKey, uint64_t aExcluded)
{
  const Call& call = aHandler.mState.mCalls.at(aKey);
  const Flow* flow = FindFlow(aHandler.mState.mFlows, aKey.mFlow);
  for (uint64_t number : call.mAttempts) {
    if (flow == nullptr || number == aExcluded ||
        !aHandler.mState.mAttempts.at(number).mIsRunning) {
      continue;
    }
    lw::upstream::ToUpstream packet;
    lw::upstream::WorkId& id = *packet.mutable_cancel()->mutable_id();
    id.set_incarnation(aHandler.mState.mSelf.mIncarnation.mValue);
    id.set_number(number);
    aHandler.mEffects.mToUpstreams.push_back(
      { call.mUpstream.mEndpoint, flow->mAddresses, packet.SerializeAsString() });
  }
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

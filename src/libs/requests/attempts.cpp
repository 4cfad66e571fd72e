#include "requests/attempts.h"

#include "requests/policy.h"
#include "requests/replies.h"

#include <algorithm>

namespace Requests::Internal {

namespace {

using std::chrono::milliseconds;

// Two retries bound the load that one request can cause to three dispatches.
constexpr uint32_t kMaxRetries = 2;
// The pause gives the upstream time to free a slot; the random part spreads retries.
constexpr milliseconds kRetryPause{ 10 };
constexpr uint64_t kRetrySpreadMs = 40;

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
Record(State& aState, const CallKey& aKey, RequestState aRequestState, Event aReason)
{
  Flow* flow = FindFlow(aState.mFlows, aKey.mFlow);
  WindowEntry* entry = flow == nullptr ? nullptr : FindEntry(flow->mWindow, aKey.mNumber);
  if (entry == nullptr) {
    return;
  }
  // A number that was used for two requests keeps that mark until it has been refused.
  const bool isReused = entry->mReason == Event::UnknownNumberReused;
  entry->mState = aRequestState;
  if (!isReused || aRequestState == RequestState::Refused) {
    entry->mReason = aReason;
  }
}

void
FinishInScheduler(Work& aWork,
                  const UpstreamKey& aUpstream,
                  uint64_t aNumber,
                  Admission::WorkOutcome aOutcome)
{
  const auto queue = aWork.mState.mQueues.find(aUpstream);
  if (queue != aWork.mState.mQueues.end()) {
    aWork.mPending.emplace_back(
      aUpstream,
      Admission::Finish(
        queue->second.mScheduler, queue->second.mPolicy, aNumber, aOutcome, aWork.mContext.mNow));
  }
}

/// Removes an attempt from everything but the scheduler.
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

/// Ends all attempts of a call and forgets it.
void
EndCall(Work& aWork, const CallKey& aKey, uint64_t aAnswered, Admission::WorkOutcome aOutcome)
{
  State& state = aWork.mState;
  Call& call = state.mCalls.at(aKey);
  const std::vector<uint64_t> numbers = call.mAttempts;
  for (uint64_t number : numbers) {
    const bool isRunning = state.mAttempts.at(number).mIsRunning;
    const auto queue = state.mQueues.find(call.mUpstream);
    DropAttempt(state, call, number);
    if (isRunning) {
      const bool hasAnswered = number == aAnswered;
      FinishInScheduler(
        aWork, call.mUpstream, number, hasAnswered ? Admission::WorkOutcome::Answered : aOutcome);
    } else if (queue != state.mQueues.end()) {
      Admission::Withdraw(queue->second.mScheduler, number);
    }
  }
  ForgetCall(state, aKey);
}

void
SendWork(Work& aWork, const Call& aCall, const Flow& aFlow, uint64_t aNumber)
{
  const auto left = std::chrono::ceil<milliseconds>(aCall.mDeadline - aWork.mContext.mNow);
  lw::upstream::ToUpstream packet;
  lw::upstream::Work& message = *packet.mutable_work();
  message.mutable_id()->set_incarnation(aWork.mState.mSelf.mIncarnation.mValue);
  message.mutable_id()->set_number(aNumber);
  message.set_kind(aCall.mKind);
  message.set_deadline_ms(static_cast<uint32_t>(left.count()));
  message.set_body(aCall.mBody);
  aWork.mEffects.mToUpstreams.push_back(
    { aCall.mUpstream.mEndpoint, aFlow.mAddresses, packet.SerializeAsString() });
  CountEvent(aWork.mEffects, Event::Dispatched);
}

/// Dispatches an attempt that the scheduler has selected.
/// \return false if it must not run; the scheduler has to be told.
bool
Start(Work& aWork, uint64_t aNumber)
{
  State& state = aWork.mState;
  const auto found = state.mAttempts.find(aNumber);
  if (found == state.mAttempts.end()) {
    return false;
  }
  const CallKey key = found->second.mCall;
  Call& call = state.mCalls.at(key);
  const Base::TimePoint now = aWork.mContext.mNow;
  const Flow* flow = FindFlow(state.mFlows, key.mFlow);
  const auto queue = state.mQueues.find(call.mUpstream);
  const bool isUsable =
    queue != state.mQueues.end() && TakesRequests(queue->second, call.mUpstream, aWork.mContext);
  if (flow == nullptr || !isUsable || call.mDeadline <= now) {
    const bool isLate = call.mDeadline <= now;
    DropAttempt(state, call, aNumber);
    if (call.mAttempts.empty()) {
      EndRefused(aWork, key, isLate ? Event::RefuseDeadlinePassed : Event::RefuseUpstreamGone);
    }
    return false;
  }
  found->second.mIsRunning = true;
  found->second.mStarted = now;
  state.mRunning.insert(aNumber);
  Record(state, key, RequestState::Dispatched, Event::None);
  SendWork(aWork, call, *flow, aNumber);
  return true;
}

void
HandleSchedulerRefusal(Work& aWork, const Admission::Refused& aRefused)
{
  const auto found = aWork.mState.mAttempts.find(aRefused.mId);
  if (found == aWork.mState.mAttempts.end() || found->second.mIsRunning) {
    return; // A dispatch cannot be taken back.
  }
  const CallKey key = found->second.mCall;
  Call& call = aWork.mState.mCalls.at(key);
  const Flow* flow = FindFlow(aWork.mState.mFlows, key.mFlow);
  if (flow != nullptr && aRefused.mReason == Admission::RefusalReason::QueueFull) {
    CountConduct(aWork.mState.mClients, { flow->mGeneration, flow->mClient }, true);
  }
  DropAttempt(aWork.mState, call, aRefused.mId);
  // Attempts leave a call only if the upstream or the scheduler refused them, so a call without
  // attempts has not run.
  if (call.mAttempts.empty()) {
    EndRefused(aWork, key, ToEvent(aRefused.mReason));
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
QueueOf(Work& aWork, const UpstreamKey& aKey, const Base::Endpoint& aService)
{
  const auto& services = aWork.mContext.mServices.mByAddress;
  const auto service = services.find(aService);
  if (service == services.end() || service->second->mGeneration != aKey.mGeneration) {
    return nullptr;
  }
  const auto [entry, isNew] = aWork.mState.mQueues.try_emplace(aKey);
  if (isNew || entry->second.mService != service->second) {
    SetPolicy(entry->second, service->second, aWork.mState.mClients);
  }
  if (isNew) {
    ReportUpstream(entry->second, aKey, aWork.mContext);
    NoteDraining(entry->second, aKey, aWork.mContext, true);
  }
  return TakesRequests(entry->second, aKey, aWork.mContext) ? &entry->second : nullptr;
}

void
OfferCall(Work& aWork, const CallKey& aKey)
{
  State& state = aWork.mState;
  Call& call = state.mCalls.at(aKey);
  state.mWaiting.erase(aKey);
  const Flow* flow = FindFlow(state.mFlows, aKey.mFlow);
  UpstreamQueue* queue =
    flow == nullptr ? nullptr : QueueOf(aWork, call.mUpstream, flow->mAddresses.mService);
  if (queue == nullptr) {
    if (call.mAttempts.empty()) {
      EndRefused(aWork, aKey, Event::RefuseUpstreamGone);
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
  aWork.mPending.emplace_back(
    call.mUpstream, Admission::Offer(queue->mScheduler, queue->mPolicy, item, aWork.mContext.mNow));
}

void
EndRefused(Work& aWork, const CallKey& aKey, Event aReason)
{
  const Call& call = aWork.mState.mCalls.at(aKey);
  const lw::caller::Outcome outcome = RefusalOutcome(aReason, call.mIsRepeatable);
  Record(aWork.mState, aKey, RequestState::Refused, aReason);
  EndCall(aWork, aKey, kNoAttempt, Admission::WorkOutcome::Canceled);
  const Flow* flow = FindFlow(aWork.mState.mFlows, aKey.mFlow);
  if (flow != nullptr) {
    Refuse(aWork.mEffects, flow->mAddresses, aKey.mFlow, aKey.mNumber, outcome, aReason);
  }
}

void
EndUnknown(Work& aWork, const CallKey& aKey, Event aReason)
{
  CancelRunning(aWork, aKey, kNoAttempt);
  Record(aWork.mState, aKey, RequestState::Unknown, aReason);
  const bool isTimeout = aReason == Event::UnknownDeadlinePassed;
  EndCall(aWork,
          aKey,
          kNoAttempt,
          isTimeout ? Admission::WorkOutcome::TimedOut : Admission::WorkOutcome::Canceled);
  const Flow* flow = FindFlow(aWork.mState.mFlows, aKey.mFlow);
  if (flow != nullptr) {
    Refuse(aWork.mEffects,
           flow->mAddresses,
           aKey.mFlow,
           aKey.mNumber,
           lw::caller::OUTCOME_UNKNOWN,
           aReason);
  }
}

void
EndAnswered(Work& aWork, const CallKey& aKey, uint64_t aNumber)
{
  State& state = aWork.mState;
  std::vector<std::string> pieces = std::move(state.mAttempts.at(aNumber).mAnswer.mPieces);
  Flow* flow = FindFlow(state.mFlows, aKey.mFlow);
  const WindowEntry* entry = flow == nullptr ? nullptr : FindEntry(flow->mWindow, aKey.mNumber);
  CancelRunning(aWork, aKey, aNumber);
  if (entry != nullptr && entry->mReason == Event::UnknownNumberReused) {
    Record(state, aKey, RequestState::Unknown, Event::UnknownNumberReused);
    EndCall(aWork, aKey, aNumber, Admission::WorkOutcome::Canceled);
    return;
  }
  if (flow != nullptr) {
    SendAnswer(aWork.mEffects, flow->mAddresses, aKey.mFlow, aKey.mNumber, pieces);
    CountEvent(aWork.mEffects, Event::Answered);
  }
  Record(state, aKey, RequestState::Answered, Event::None);
  EndCall(aWork, aKey, aNumber, Admission::WorkOutcome::Canceled);
  const Settings& settings = aWork.mContext.mSettings;
  const size_t used = std::min(aWork.mContext.mLimits.mMaxAnswerBytes, state.mAssemblyBytes);
  StoreAnswer(state.mAnswers,
              aKey,
              std::move(pieces),
              aWork.mContext.mLimits.mMaxAnswerBytes - used,
              aWork.mContext.mNow + settings.mAnswerLife);
}

void
ForgetCall(State& aState, const CallKey& aKey)
{
  aState.mCalls.erase(aKey);
  aState.mWaiting.erase(aKey);
  Flow* flow = FindFlow(aState.mFlows, aKey.mFlow);
  if (flow != nullptr) {
    --flow->mOpenCalls;
  }
}

void
HoldCall(State& aState, const CallKey& aKey)
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
CancelRunning(Work& aWork, const CallKey& aKey, uint64_t aExcept)
{
  const Call& call = aWork.mState.mCalls.at(aKey);
  const Flow* flow = FindFlow(aWork.mState.mFlows, aKey.mFlow);
  for (uint64_t number : call.mAttempts) {
    if (flow == nullptr || number == aExcept || !aWork.mState.mAttempts.at(number).mIsRunning) {
      continue;
    }
    lw::upstream::ToUpstream packet;
    lw::upstream::WorkId& id = *packet.mutable_cancel()->mutable_id();
    id.set_incarnation(aWork.mState.mSelf.mIncarnation.mValue);
    id.set_number(number);
    aWork.mEffects.mToUpstreams.push_back(
      { call.mUpstream.mEndpoint, flow->mAddresses, packet.SerializeAsString() });
  }
}

void
HandleShed(Work& aWork, uint64_t aNumber)
{
  State& state = aWork.mState;
  const CallKey key = state.mAttempts.at(aNumber).mCall;
  Call& call = state.mCalls.at(key);
  const UpstreamKey upstream = call.mUpstream;
  DropAttempt(state, call, aNumber);
  FinishInScheduler(aWork, upstream, aNumber, Admission::WorkOutcome::Shed);
  if (!call.mAttempts.empty()) {
    return;
  }
  const Base::TimePoint now = aWork.mContext.mNow;
  const bool isHandedOver = state.mHandover.mIsLeaving && state.mHandover.mSuccessor.has_value();
  if (call.mIsCanceled) {
    EndRefused(aWork, key, Event::RefuseCanceled);
  } else if (isHandedOver) {
    Record(state, key, RequestState::Queued, Event::None);
    HoldCall(state, key);
  } else if (call.mRetries < kMaxRetries && TakeRetryFor(aWork, call)) {
    ++call.mRetries;
    Record(state, key, RequestState::Queued, Event::None);
    const milliseconds spread(Base::NextBelow(aWork.mContext.mRandom, kRetrySpreadMs));
    call.mResumeAt = now + kRetryPause + spread;
    state.mWaiting.insert(key);
  } else {
    EndRefused(aWork, key, Event::RefuseShed);
  }
}

void
Drain(Work& aWork)
{
  while (!aWork.mPending.empty()) {
    const auto [upstream, wishes] = std::move(aWork.mPending.front());
    aWork.mPending.pop_front();
    for (const Admission::Refused& refused : wishes.mRefuse) {
      HandleSchedulerRefusal(aWork, refused);
    }
    for (const Admission::WorkItem& item : wishes.mDispatch) {
      if (!Start(aWork, item.mId)) {
        FinishInScheduler(aWork, upstream, item.mId, Admission::WorkOutcome::Canceled);
      }
    }
  }
}

} // namespace Requests::Internal

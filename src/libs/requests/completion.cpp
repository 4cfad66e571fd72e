#include "requests/completion.h"

#include "requests/replies.h"

#include "upstream.pb.h"

#include <algorithm>
#include <utility>

namespace Requests::Internal {

namespace {

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

} // namespace

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

lw::caller::Outcome
RefusalOutcome(Event aReason, bool aIsRepeatable)
{
  const bool needsFlow = aReason == Event::RefuseUpstreamGone && aIsRepeatable;
  return needsFlow ? lw::caller::FLOW_GONE : lw::caller::NOT_RUN;
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

} // namespace Requests::Internal

#include "requests/progress.h"

#include "requests/policy.h"
#include "requests/replies.h"

#include <algorithm>
#include <vector>

namespace Requests::Internal {

namespace {

// The pieces of an answer follow each other closely. A longer gap means that pieces were lost.
constexpr std::chrono::milliseconds kPieceGap{ 500 };
// Time for an upstream to answer a WorkCancel before the slot is taken to be free.
constexpr std::chrono::seconds kCancelWait{ 1 };

Event
ToEvent(PieceResult aResult)
{
  switch (aResult) {
    case PieceResult::Duplicate:
      return Event::DropDuplicatePiece;
    case PieceResult::TooLarge:
      return Event::DropAnswerTooLarge;
    case PieceResult::Added:
    case PieceResult::Complete:
      return Event::None;
    case PieceResult::Bad:
      break;
  }
  return Event::DropBadPiece;
}

void
HandlePiece(Work& aWork, uint64_t aNumber, const lw::upstream::WorkPiece& aPiece)
{
  State& state = aWork.mState;
  Attempt& attempt = state.mAttempts.at(aNumber);
  const size_t bound = aWork.mContext.mLimits.mMaxAnswerBytes;
  const size_t others = state.mAssemblyBytes - attempt.mAnswer.mBytes;
  const size_t bytesBefore = attempt.mAnswer.mBytes;
  const PieceResult result = AddPiece(attempt.mAnswer,
                                      aPiece.index(),
                                      aPiece.total(),
                                      aPiece.body(),
                                      bound - std::min(bound, others));
  state.mAssemblyBytes += attempt.mAnswer.mBytes - bytesBefore;
  if (result != PieceResult::Added && result != PieceResult::Complete) {
    CountEvent(aWork.mEffects, ToEvent(result));
    return;
  }
  attempt.mLastPiece = aWork.mContext.mNow;
  const CallKey key = attempt.mCall;
  TrimAnswers(state.mAnswers, bound - std::min(bound, state.mAssemblyBytes), aWork.mContext.mNow);
  if (result == PieceResult::Complete) {
    EndAnswered(aWork, key, aNumber);
  }
}

/// \return true if a second attempt should be made because the first one was lost or its answer
/// was.
bool
NeedsSecondAttempt(const Call& aCall, const Attempt& aAttempt, Base::TimePoint aNow)
{
  if (!aCall.mIsRepeatable || aCall.mIsCanceled || aCall.mRetries > 0 ||
      aCall.mAttempts.size() != 1) {
    return false;
  }
  const bool hasPieces = !aAttempt.mAnswer.mPieces.empty();
  return hasPieces ? aNow >= aAttempt.mLastPiece + kPieceGap
                   : aNow >= aAttempt.mStarted + (aCall.mDeadline - aAttempt.mStarted) / 2;
}

void
TickRunning(Work& aWork)
{
  State& state = aWork.mState;
  const Base::TimePoint now = aWork.mContext.mNow;
  const std::vector<uint64_t> running(state.mRunning.begin(), state.mRunning.end());
  for (uint64_t number : running) {
    const auto attempt = state.mAttempts.find(number);
    if (attempt == state.mAttempts.end()) {
      continue;
    }
    const CallKey key = attempt->second.mCall;
    Call& call = state.mCalls.at(key);
    if (call.mDeadline <= now) {
      EndUnknown(aWork, key, Event::UnknownDeadlinePassed);
    } else if (call.mIsCanceled && now >= call.mCanceledAt + kCancelWait) {
      EndUnknown(aWork, key, Event::UnknownCanceled);
    } else if (NeedsSecondAttempt(call, attempt->second, now) && !state.mHandover.mIsLeaving) {
      // Counted even if the budget is spent, so that it is asked once for each request.
      ++call.mRetries;
      if (TakeRetryFor(aWork, call)) {
        OfferCall(aWork, key);
      }
    }
  }
}

void
TickWaiting(Work& aWork)
{
  State& state = aWork.mState;
  const Base::TimePoint now = aWork.mContext.mNow;
  const std::vector<CallKey> waiting(state.mWaiting.begin(), state.mWaiting.end());
  for (const CallKey& key : waiting) {
    const Call& call = state.mCalls.at(key);
    if (call.mDeadline <= now) {
      EndRefused(aWork, key, Event::RefuseDeadlinePassed);
    } else if (call.mResumeAt <= now) {
      OfferCall(aWork, key);
    }
  }
}

void
TickQueues(Work& aWork)
{
  State& state = aWork.mState;
  const Context& context = aWork.mContext;
  for (auto queue = state.mQueues.begin(); queue != state.mQueues.end();) {
    const UpstreamKey& key = queue->first;
    const bool isKnown =
      Membership::FindUpstream(context.mView, key.mEndpoint, key.mGeneration) != nullptr;
    if (!isKnown && queue->second.mOpenAttempts == 0) {
      queue = state.mQueues.erase(queue);
      continue;
    }
    ReportUpstream(queue->second, key, context);
    NoteDraining(queue->second, key, context, false);
    aWork.mPending.emplace_back(
      key, Admission::Tick(queue->second.mScheduler, queue->second.mPolicy, context.mNow));
    ++queue;
  }
}

} // namespace

void
HandleFromUpstream(Work& aWork,
                   const Base::Endpoint& aSender,
                   const lw::upstream::FromUpstream& aPacket)
{
  if (!aPacket.has_piece() && !aPacket.has_shed()) {
    CountEvent(aWork.mEffects, Event::DropMalformed);
    return;
  }
  State& state = aWork.mState;
  const lw::upstream::WorkId& id = aPacket.has_piece() ? aPacket.piece().id() : aPacket.shed().id();
  if (id.incarnation() != state.mSelf.mIncarnation.mValue) {
    CountEvent(aWork.mEffects, Event::DropForeignWork);
    return;
  }
  const auto attempt = state.mAttempts.find(id.number());
  if (attempt == state.mAttempts.end() || !attempt->second.mIsRunning) {
    CountEvent(aWork.mEffects, Event::DropLateAnswer);
    return;
  }
  if (state.mCalls.at(attempt->second.mCall).mUpstream.mEndpoint != aSender) {
    CountEvent(aWork.mEffects, Event::DropWrongUpstream);
    return;
  }
  if (aPacket.has_piece()) {
    HandlePiece(aWork, id.number(), aPacket.piece());
  } else if (!attempt->second.mAnswer.mPieces.empty()) {
    // Work that has answered has run, whatever a later packet says.
    CountEvent(aWork.mEffects, Event::DropBadPiece);
  } else {
    HandleShed(aWork, id.number());
  }
}

void
TickCalls(Work& aWork)
{
  TickRunning(aWork);
  TickWaiting(aWork);
  TickQueues(aWork);
  Drain(aWork);
  const Context& context = aWork.mContext;
  TrimAnswers(aWork.mState.mAnswers, context.mLimits.mMaxAnswerBytes, context.mNow);
  DropIdleFlows(aWork.mState.mFlows, context.mSettings.mFlowIdle, context.mNow);
}

} // namespace Requests::Internal

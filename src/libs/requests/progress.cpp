#include "requests/progress.h"

#include "requests/completion.h"
#include "requests/policy.h"
#include "requests/replies.h"

#include <algorithm>
#include <vector>

namespace Requests::Internal {

namespace {

// Pieces of an answer arrive in quick succession. A longer gap means that pieces were lost.
constexpr std::chrono::milliseconds kMaxPieceGap{ 500 };
// Time for an upstream to respond to a WorkCancel before its slot is considered free.
constexpr std::chrono::seconds kCancelTimeout{ 1 };

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
    case PieceResult::Invalid:
      break;
  }
  return Event::DropBadPiece;
}

void
HandlePiece(HandlerContext& aHandler, uint64_t aNumber, const lw::upstream::WorkPiece& aPiece)
{
  State& state = aHandler.mState;
  Attempt& attempt = state.mAttempts.at(aNumber);
  const size_t bound = aHandler.mContext.mLimits.mMaxAnswerBytes;
  const size_t others = state.mAssemblyBytes - attempt.mAnswer.mBytes;
  const size_t bytesBefore = attempt.mAnswer.mBytes;
  const PieceResult result = AddPiece(attempt.mAnswer,
                                      aPiece.index(),
                                      aPiece.total(),
                                      aPiece.body(),
                                      bound - std::min(bound, others));
  state.mAssemblyBytes += attempt.mAnswer.mBytes - bytesBefore;
  if (result != PieceResult::Added && result != PieceResult::Complete) {
    CountEvent(aHandler.mEffects, ToEvent(result));
    return;
  }
  attempt.mLastPiece = aHandler.mContext.mNow;
  const CallKey key = attempt.mCall;
  TrimAnswers(
    state.mAnswers, bound - std::min(bound, state.mAssemblyBytes), aHandler.mContext.mNow);
  if (result == PieceResult::Complete) {
    EndAnswered(aHandler, key, aNumber);
  }
}

/// \return true if a second attempt is needed because the first one or its answer was lost.
bool
NeedsSecondAttempt(const Call& aCall, const Attempt& aAttempt, Base::TimePoint aNow)
{
  if (!aCall.mIsRepeatable || aCall.mIsCanceled || aCall.mRetries > 0 ||
      aCall.mAttempts.size() != 1) {
    return false;
  }
  const bool hasPieces = !aAttempt.mAnswer.mPieces.empty();
  return hasPieces ? aNow >= aAttempt.mLastPiece + kMaxPieceGap
                   : aNow >= aAttempt.mStarted + (aCall.mDeadline - aAttempt.mStarted) / 2;
}

void
TickRunning(HandlerContext& aHandler)
{
  State& state = aHandler.mState;
  const Base::TimePoint now = aHandler.mContext.mNow;
  const std::vector<uint64_t> running(state.mRunning.begin(), state.mRunning.end());
  for (uint64_t number : running) {
    const auto attempt = state.mAttempts.find(number);
    if (attempt == state.mAttempts.end()) {
      continue;
    }
    const CallKey key = attempt->second.mCall;
    Call& call = state.mCalls.at(key);
    if (call.mDeadline <= now) {
      EndUnknown(aHandler, key, Event::UnknownDeadlinePassed);
    } else if (call.mIsCanceled && now >= call.mCanceledAt + kCancelTimeout) {
      EndUnknown(aHandler, key, Event::UnknownCanceled);
    } else if (NeedsSecondAttempt(call, attempt->second, now) && !state.mHandover.mIsLeaving) {
      // Counted even if the budget is exhausted, so that each request tries it only once.
      ++call.mRetries;
      if (TakeRetryFromBudget(aHandler, call)) {
        OfferCall(aHandler, key);
      }
    }
  }
}

void
TickWaiting(HandlerContext& aHandler)
{
  State& state = aHandler.mState;
  const Base::TimePoint now = aHandler.mContext.mNow;
  const std::vector<CallKey> waiting(state.mWaiting.begin(), state.mWaiting.end());
  for (const CallKey& key : waiting) {
    const Call& call = state.mCalls.at(key);
    if (call.mDeadline <= now) {
      EndRefused(aHandler, key, Event::RefuseDeadlinePassed);
    } else if (call.mResumeAt <= now) {
      OfferCall(aHandler, key);
    }
  }
}

void
TickQueues(HandlerContext& aHandler)
{
  State& state = aHandler.mState;
  const Context& context = aHandler.mContext;
  for (auto queue = state.mQueues.begin(); queue != state.mQueues.end();) {
    const UpstreamKey& key = queue->first;
    const bool isKnown =
      Membership::FindUpstream(context.mView, key.mEndpoint, key.mGeneration) != nullptr;
    if (!isKnown && queue->second.mOpenAttempts == 0) {
      queue = state.mQueues.erase(queue);
      continue;
    }
    ReportUpstream(queue->second, key, context);
    UpdateDraining(queue->second, key, context, false);
    aHandler.mSchedulerEffects.emplace_back(
      key, Admission::Tick(queue->second.mScheduler, queue->second.mPolicy, context.mNow));
    ++queue;
  }
}

} // namespace

void
HandleFromUpstream(HandlerContext& aHandler,
                   const Base::Endpoint& aSender,
                   const lw::upstream::FromUpstream& aPacket)
{
  if (!aPacket.has_piece() && !aPacket.has_shed()) {
    CountEvent(aHandler.mEffects, Event::DropMalformed);
    return;
  }
  State& state = aHandler.mState;
  const lw::upstream::WorkId& id = aPacket.has_piece() ? aPacket.piece().id() : aPacket.shed().id();
  if (id.incarnation() != state.mSelf.mIncarnation.mValue) {
    CountEvent(aHandler.mEffects, Event::DropForeignWork);
    return;
  }
  const auto attempt = state.mAttempts.find(id.number());
  if (attempt == state.mAttempts.end() || !attempt->second.mIsRunning) {
    CountEvent(aHandler.mEffects, Event::DropLateAnswer);
    return;
  }
  if (state.mCalls.at(attempt->second.mCall).mUpstream.mEndpoint != aSender) {
    CountEvent(aHandler.mEffects, Event::DropWrongUpstream);
    return;
  }
  if (aPacket.has_piece()) {
    HandlePiece(aHandler, id.number(), aPacket.piece());
  } else if (!attempt->second.mAnswer.mPieces.empty()) {
    // Work that has sent a piece has run, so a refusal after it is invalid.
    CountEvent(aHandler.mEffects, Event::DropBadPiece);
  } else {
    HandleShed(aHandler, id.number());
  }
}

void
TickCalls(HandlerContext& aHandler)
{
  TickRunning(aHandler);
  TickWaiting(aHandler);
  TickQueues(aHandler);
  ApplySchedulerEffects(aHandler);
  const Context& context = aHandler.mContext;
  TrimAnswers(aHandler.mState.mAnswers, context.mLimits.mMaxAnswerBytes, context.mNow);
  DropIdleFlows(aHandler.mState.mFlows, context.mSettings.mFlowIdle, context.mNow);
}

} // namespace Requests::Internal

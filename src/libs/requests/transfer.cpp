#include "requests/transfer.h"

#include "requests/completion.h"
#include "requests/messages.h"
#include "requests/policy.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace Requests::Internal {

namespace {

using std::chrono::milliseconds;

// With these limits a transfer with a full window stays below the maximum UDP payload of 65,507
// bytes.
constexpr size_t kMaxQueuedBytes = 40000;
constexpr size_t kMaxAnswerBytes = 16000;
constexpr size_t kQueuedOverhead = 32;
constexpr uint32_t kMaxDeadlineMs = 600000;

/// Refuses queued requests that cannot be transferred, because they are below the window or do not
/// fit into the datagram.
void
RefuseUntransferableRequests(HandlerContext& aHandler, Base::FlowNumber aNumber)
{
  State& state = aHandler.mState;
  Flow& flow = *FindFlow(state.mFlows, aNumber);
  std::vector<CallKey> refused;
  size_t bytes = 0;
  for (auto key = state.mWaiting.lower_bound({ aNumber, Base::RequestNumber(0) });
       key != state.mWaiting.end() && key->mFlow == aNumber;
       ++key) {
    const Call& call = state.mCalls.at(*key);
    const size_t size = call.mBody.size() + call.mKind.size() + kQueuedOverhead;
    if (FindEntry(flow.mWindow, key->mNumber) == nullptr || bytes + size > kMaxQueuedBytes) {
      refused.push_back(*key);
    } else {
      bytes += size;
    }
  }
  for (const CallKey& key : refused) {
    EndRefused(aHandler, key, Event::RefuseShutdown);
  }
}

void
WriteQueued(const Call& aCall, Base::TimePoint aNow, lw::requestpeer::QueuedRequest& aQueued)
{
  const auto left = std::chrono::duration_cast<milliseconds>(aCall.mDeadline - aNow);
  aQueued.set_kind(aCall.mKind);
  aQueued.set_repeatable(aCall.mIsRepeatable);
  aQueued.set_deadline_ms(static_cast<uint32_t>(std::max<int64_t>(0, left.count())));
  aQueued.set_body(aCall.mBody);
}

bool
IsWellFormed(const lw::requestpeer::FlowTransfer& aTransfer)
{
  uint64_t last = 0;
  const uint64_t base = aTransfer.window_base();
  for (const lw::requestpeer::WindowEntry& entry : aTransfer.entries()) {
    const bool isInWindow = entry.number() >= base && entry.number() - base < kWindowSize;
    const bool isQueued = entry.state() == static_cast<uint32_t>(RequestState::Queued);
    if (entry.number() <= last || !isInWindow || isQueued != entry.has_queued() ||
        entry.state() > static_cast<uint32_t>(RequestState::Unknown) ||
        entry.reason() >= static_cast<uint32_t>(Event::Count)) {
      return false;
    }
    last = entry.number();
  }
  return base > 0;
}

void
ReadQueued(HandlerContext& aHandler,
           Flow& aFlow,
           const lw::requestpeer::WindowEntry& aEntry,
           uint32_t aAgeMs)
{
  const lw::requestpeer::QueuedRequest& queued = aEntry.queued();
  const uint32_t left = std::min(queued.deadline_ms(), kMaxDeadlineMs);
  Call call;
  call.mUpstream = { aFlow.mUpstream, aFlow.mGeneration };
  call.mKind = queued.kind();
  call.mIsRepeatable = queued.repeatable();
  call.mDeadline = aHandler.mContext.mNow + milliseconds(left - std::min(left, aAgeMs));
  call.mBody = queued.body();
  const CallKey key{ aFlow.mNumber, Base::RequestNumber(aEntry.number()) };
  aHandler.mState.mCalls.emplace(key, std::move(call));
  ++aFlow.mOpenCalls;
  OfferCall(aHandler, key);
}

} // namespace

void
WriteTransfer(HandlerContext& aHandler,
              Base::FlowNumber aNumber,
              lw::requestpeer::FlowTransfer& aTransfer)
{
  RefuseUntransferableRequests(aHandler, aNumber);
  const State& state = aHandler.mState;
  Flow& flow = *FindFlow(aHandler.mState.mFlows, aNumber);
  *aTransfer.mutable_sender() = ToMessage(state.mSelf);
  *aTransfer.mutable_successor() = ToMessage(*state.mHandover.mSuccessor);
  *aTransfer.mutable_origin() = ToMessage(flow.mOrigin);
  aTransfer.set_flow(aNumber.mValue);
  *aTransfer.mutable_caller() = ToMessage(flow.mAddresses.mCaller);
  *aTransfer.mutable_service() = ToMessage(flow.mAddresses.mService);
  *aTransfer.mutable_upstream() = ToMessage(flow.mUpstream);
  aTransfer.set_generation(flow.mGeneration.mValue);
  aTransfer.set_client(flow.mClient);
  aTransfer.set_window_base(flow.mWindow.mBase.mValue);
  size_t answerBytes = 0;
  for (const WindowEntry& entry : flow.mWindow.mEntries) {
    lw::requestpeer::WindowEntry& written = *aTransfer.add_entries();
    written.set_number(entry.mNumber.mValue);
    written.set_digest(entry.mDigest);
    written.set_state(static_cast<uint32_t>(entry.mState));
    written.set_reason(static_cast<uint32_t>(entry.mReason));
    const CallKey key{ aNumber, entry.mNumber };
    const auto call = state.mCalls.find(key);
    if (call != state.mCalls.end()) {
      WriteQueued(call->second, aHandler.mContext.mNow, *written.mutable_queued());
    }
    const auto answer = state.mAnswers.mAnswers.find(key);
    if (answer != state.mAnswers.mAnswers.end() &&
        answerBytes + answer->second.mBytes <= kMaxAnswerBytes) {
      answerBytes += answer->second.mBytes;
      for (const std::string& piece : answer->second.mPieces) {
        written.add_answer(piece);
      }
    }
  }
}

bool
ReadTransfer(HandlerContext& aHandler, const lw::requestpeer::FlowTransfer& aTransfer)
{
  State& state = aHandler.mState;
  const Base::FlowNumber number(aTransfer.flow());
  if (!IsWellFormed(aTransfer) || FindFlow(state.mFlows, number) != nullptr) {
    return false;
  }
  const Base::TimePoint now = aHandler.mContext.mNow;
  const Settings& settings = aHandler.mContext.mSettings;
  Flow flow;
  flow.mNumber = number;
  flow.mOrigin = FromMessage(aTransfer.origin());
  flow.mAddresses = { FromMessage(aTransfer.caller()), FromMessage(aTransfer.service()) };
  flow.mUpstream = FromMessage(aTransfer.upstream());
  flow.mGeneration = Base::ServiceGeneration(aTransfer.generation());
  flow.mClient = aTransfer.client();
  flow.mWindow.mBase = Base::RequestNumber(aTransfer.window_base());
  for (const lw::requestpeer::WindowEntry& read : aTransfer.entries()) {
    WindowEntry entry;
    entry.mNumber = Base::RequestNumber(read.number());
    entry.mDigest = read.digest();
    entry.mState = static_cast<RequestState>(read.state());
    entry.mReason = static_cast<Event>(read.reason());
    flow.mWindow.mEntries.push_back(entry);
    if (read.answer_size() > 0) {
      StoreAnswer(state.mAnswers,
                  { number, entry.mNumber },
                  { read.answer().begin(), read.answer().end() },
                  aHandler.mContext.mLimits.mMaxAnswerBytes -
                    std::min(aHandler.mContext.mLimits.mMaxAnswerBytes, state.mAssemblyBytes),
                  now + settings.mAnswerLife);
    }
  }
  Flow& added = AddFlow(state.mFlows, std::move(flow), now);
  for (const lw::requestpeer::WindowEntry& read : aTransfer.entries()) {
    if (read.has_queued()) {
      ReadQueued(aHandler, added, read, aTransfer.age_ms());
    }
  }
  return true;
}

} // namespace Requests::Internal

#include "requests/handover.h"

#include "requests/completion.h"
#include "requests/messages.h"
#include "requests/replies.h"
#include "requests/routing.h"
#include "requests/runhistory.h"
#include "requests/transfer.h"

#include <utility>
#include <vector>

namespace Requests::Internal {

namespace {

using std::chrono::milliseconds;

// Flows are removed after at most 10 min of idle time; the other 5 min are a safety margin.
constexpr std::chrono::minutes kSuccessionLifetime{ 15 };
constexpr size_t kMaxSuccessions = 1024;
// At 200 flows per 50 ms tick, 50,000 flows take 12 s, and each burst fits into a socket buffer.
constexpr size_t kMaxTransfersPerTick = 200;
constexpr milliseconds kResendInterval{ 200 };
constexpr milliseconds kLeaveNoticeInterval{ 200 };
constexpr std::chrono::seconds kSuccessionNoticeInterval{ 5 };

void
SendSuccession(HandlerContext& aHandler, const Run& aOwner, const Run& aSuccessor)
{
  lw::requestpeer::RequestPeerPacket packet;
  *packet.mutable_succession()->mutable_owner() = ToMessage(aOwner);
  *packet.mutable_succession()->mutable_successor() = ToMessage(aSuccessor);
  const std::string payload = packet.SerializeAsString();
  for (const Membership::Member& member : aHandler.mContext.mView.mMembers) {
    if (member.mId != aHandler.mState.mSelf.mInstance) {
      aHandler.mEffects.mToPeers.push_back({ member.mId, payload });
    }
  }
}

void
SendTransfer(HandlerContext& aHandler, PendingTransfer& aTransfer)
{
  const Base::TimePoint now = aHandler.mContext.mNow;
  const auto age = std::chrono::duration_cast<milliseconds>(now - aTransfer.mFrozenAt);
  aTransfer.mPacket.mutable_transfer()->set_age_ms(static_cast<uint32_t>(age.count()));
  aTransfer.mSentAt = now;
  const Base::InstanceId target(aTransfer.mPacket.transfer().successor().instance());
  aHandler.mEffects.mToPeers.push_back({ target, aTransfer.mPacket.SerializeAsString() });
  CountEvent(aHandler.mEffects, Event::TransferSent);
}

bool
HasRunningWork(const State& aState, Base::FlowNumber aFlow)
{
  for (uint64_t number : aState.mRunning) {
    if (aState.mAttempts.at(number).mCall.mFlow == aFlow) {
      return true;
    }
  }
  return false;
}

/// Replaces a flow by its pending transfer. From then on this instance only resends the transfer.
void
FreezeFlow(HandlerContext& aHandler, Base::FlowNumber aNumber)
{
  State& state = aHandler.mState;
  PendingTransfer pending;
  pending.mFrozenAt = aHandler.mContext.mNow;
  WriteTransfer(aHandler, aNumber, *pending.mPacket.mutable_transfer());
  const auto first = state.mWaiting.lower_bound({ aNumber, Base::RequestNumber(0) });
  std::vector<CallKey> held;
  for (auto key = first; key != state.mWaiting.end() && key->mFlow == aNumber; ++key) {
    held.push_back(*key);
  }
  for (const CallKey& key : held) {
    RemoveCall(state, key);
  }
  RemoveFlow(state.mFlows, aNumber);
  const auto added = state.mHandover.mPending.emplace(aNumber, std::move(pending)).first;
  SendTransfer(aHandler, added->second);
}

void
FreezeIdleFlows(HandlerContext& aHandler)
{
  State& state = aHandler.mState;
  std::vector<Base::FlowNumber> ready;
  for (const auto& [number, flow] : state.mFlows.mFlows) {
    if (ready.size() == kMaxTransfersPerTick) {
      break;
    }
    if (flow.mOpenCalls == 0 || !HasRunningWork(state, number)) {
      ready.push_back(number);
    }
  }
  for (Base::FlowNumber number : ready) {
    FreezeFlow(aHandler, number);
  }
}

void
RepeatSuccessions(HandlerContext& aHandler, bool aHasChanged)
{
  Successions& known = aHandler.mState.mSuccessions;
  const Base::TimePoint now = aHandler.mContext.mNow;
  if (now < known.mNextNotice && !aHasChanged) {
    return;
  }
  known.mNextNotice = now + kSuccessionNoticeInterval;
  for (auto entry = known.mAccepted.begin(); entry != known.mAccepted.end();) {
    if (entry->second.mLastTransfer + kSuccessionLifetime <= now) {
      entry = known.mAccepted.erase(entry);
      continue;
    }
    // As long as the sender exists, it may still own some of the flows it took over from other
    // runs.
    const Run& sender = entry->first;
    const bool isSenderGone = aHandler.mState.mRuns.mMembers.count(sender) == 0;
    for (const Run& origin : entry->second.mOrigins) {
      if (isSenderGone || IsSameRun(origin, sender)) {
        SendSuccession(aHandler, origin, aHandler.mState.mSelf);
      }
    }
    ++entry;
  }
}

void
SendConfirmation(HandlerContext& aHandler, const lw::requestpeer::FlowTransfer& aTransfer)
{
  lw::requestpeer::RequestPeerPacket packet;
  lw::requestpeer::FlowTransferConfirmed& confirmed = *packet.mutable_confirmed();
  *confirmed.mutable_sender() = aTransfer.sender();
  *confirmed.mutable_successor() = aTransfer.successor();
  *confirmed.mutable_upstream() = aTransfer.upstream();
  confirmed.set_flow(aTransfer.flow());
  aHandler.mEffects.mToPeers.push_back(
    { Base::InstanceId(aTransfer.sender().instance()), packet.SerializeAsString() });
}

void
SendRejection(HandlerContext& aHandler, const lw::requestpeer::FlowTransfer& aTransfer)
{
  const std::optional<Run>& next = aHandler.mState.mHandover.mSuccessor;
  if (!next.has_value()) {
    return;
  }
  lw::requestpeer::RequestPeerPacket packet;
  lw::requestpeer::FlowTransferRejected& rejected = *packet.mutable_rejected();
  *rejected.mutable_sender() = aTransfer.sender();
  *rejected.mutable_successor() = aTransfer.successor();
  *rejected.mutable_upstream() = aTransfer.upstream();
  *rejected.mutable_next() = ToMessage(*next);
  rejected.set_flow(aTransfer.flow());
  aHandler.mEffects.mToPeers.push_back(
    { Base::InstanceId(aTransfer.sender().instance()), packet.SerializeAsString() });
}

/// \return the pending transfer of a flow to this successor, or the end iterator.
std::unordered_map<Base::FlowNumber, PendingTransfer>::iterator
FindPending(State& aState,
            const lw::requestpeer::Run& aSender,
            const lw::requestpeer::Run& aSuccessor,
            uint64_t aFlow)
{
  auto& pending = aState.mHandover.mPending;
  const auto found = pending.find(Base::FlowNumber(aFlow));
  const bool isOurs =
    found != pending.end() && IsSameRun(FromMessage(aSender), aState.mSelf) &&
    IsSameRun(FromMessage(aSuccessor), FromMessage(found->second.mPacket.transfer().successor()));
  return isOurs ? found : pending.end();
}

} // namespace

void
BeginHandover(HandlerContext& aHandler)
{
  State& state = aHandler.mState;
  if (state.mHandover.mIsLeaving) {
    return;
  }
  state.mHandover.mIsLeaving = true;
  const Membership::Member* successor =
    SelectOtherMember(aHandler, state.mSelf.mIncarnation.mValue);
  if (successor == nullptr) {
    return;
  }
  state.mHandover.mSuccessor = Run{ successor->mId, successor->mIncarnation };
  std::vector<CallKey> calls;
  for (const auto& [key, call] : state.mCalls) {
    calls.push_back(key);
  }
  for (const CallKey& key : calls) {
    if (WithdrawCall(state, key)) {
      SuspendCall(state, key);
    }
  }
}

void
TickHandover(HandlerContext& aHandler)
{
  RepeatSuccessions(aHandler, UpdateRuns(aHandler.mState.mRuns, aHandler.mContext));
  Handover& handover = aHandler.mState.mHandover;
  const Base::TimePoint now = aHandler.mContext.mNow;
  if (!handover.mIsLeaving || !handover.mSuccessor.has_value()) {
    return;
  }
  if (now >= handover.mNextNotice && aHandler.mState.mShard == 0) {
    handover.mNextNotice = now + kLeaveNoticeInterval;
    ++handover.mNotices;
    SendSuccession(aHandler, aHandler.mState.mSelf, *handover.mSuccessor);
  }
  size_t sent = 0;
  for (auto& [number, pending] : handover.mPending) {
    if (now >= pending.mSentAt + kResendInterval && sent < kMaxTransfersPerTick) {
      SendTransfer(aHandler, pending);
      ++sent;
    }
  }
  FreezeIdleFlows(aHandler);
}

void
AcceptTransfer(HandlerContext& aHandler, const lw::requestpeer::FlowTransfer& aTransfer)
{
  State& state = aHandler.mState;
  const Run sender = FromMessage(aTransfer.sender());
  const bool isForUs = IsSameRun(FromMessage(aTransfer.successor()), state.mSelf);
  if (!isForUs) {
    CountEvent(aHandler.mEffects, Event::DropTransferNotForUs);
    return;
  }
  const Base::TimePoint now = aHandler.mContext.mNow;
  const Base::FlowNumber number(aTransfer.flow());
  const auto known = state.mSuccessions.mAccepted.find(sender);
  if (known != state.mSuccessions.mAccepted.end() && known->second.mFlows.count(number) != 0) {
    SendConfirmation(aHandler, aTransfer);
    return;
  }
  if (state.mHandover.mIsLeaving) {
    SendRejection(aHandler, aTransfer);
    CountEvent(aHandler.mEffects, Event::DropTransferNotForUs);
    return;
  }
  if (state.mFlows.mFlows.size() >= aHandler.mContext.mLimits.mMaxFlows) {
    CountEvent(aHandler.mEffects, Event::DropTransferTableFull);
    return;
  }
  if (!ReadTransfer(aHandler, aTransfer)) {
    CountEvent(aHandler.mEffects, Event::DropMalformed);
    return;
  }
  const Run origin = FromMessage(aTransfer.origin());
  Successions::Accepted& accepted = state.mSuccessions.mAccepted[sender];
  accepted.mFlows.insert(number);
  accepted.mLastTransfer = now;
  if (accepted.mOrigins.insert(sender).second) {
    SendSuccession(aHandler, sender, state.mSelf);
  }
  accepted.mOrigins.insert(origin);
  AcceptSuccession(state, sender, state.mSelf, now);
  SendConfirmation(aHandler, aTransfer);
  CountEvent(aHandler.mEffects, Event::TransferAccepted);
}

void
AcceptConfirmation(HandlerContext& aHandler,
                   const lw::requestpeer::FlowTransferConfirmed& aConfirmed)
{
  auto& pending = aHandler.mState.mHandover.mPending;
  const auto found =
    FindPending(aHandler.mState, aConfirmed.sender(), aConfirmed.successor(), aConfirmed.flow());
  if (found != pending.end()) {
    pending.erase(found);
    CountEvent(aHandler.mEffects, Event::TransferConfirmed);
  }
}

void
AcceptRejection(HandlerContext& aHandler, const lw::requestpeer::FlowTransferRejected& aRejected)
{
  State& state = aHandler.mState;
  const auto found =
    FindPending(state, aRejected.sender(), aRejected.successor(), aRejected.flow());
  if (found == state.mHandover.mPending.end()) {
    return;
  }
  // Using the successor's successor keeps the chain of succession notices intact. It can be this
  // instance if both selected each other.
  Run next = FromMessage(aRejected.next());
  if (next.mInstance == state.mSelf.mInstance) {
    const Base::InstanceId rejecting(aRejected.successor().instance());
    const Membership::Member* other =
      SelectOtherMember(aHandler, state.mSelf.mIncarnation.mValue, rejecting);
    if (other == nullptr) {
      return;
    }
    next = { other->mId, other->mIncarnation };
  }
  state.mHandover.mSuccessor = next;
  *found->second.mPacket.mutable_transfer()->mutable_successor() = ToMessage(next);
  SendTransfer(aHandler, found->second);
}

void
AcceptSuccession(State& aState, const Run& aOwner, const Run& aSuccessor, Base::TimePoint aNow)
{
  auto& known = aState.mSuccessions.mByOwner;
  if (known.size() >= kMaxSuccessions) {
    for (auto entry = known.begin(); entry != known.end();) {
      entry = entry->second.mExpiry <= aNow ? known.erase(entry) : std::next(entry);
    }
  }
  const bool isOwnRun = IsSameRun(aOwner, aState.mSelf) || IsSameRun(aOwner, aSuccessor);
  if (isOwnRun || (known.size() >= kMaxSuccessions && known.count(aOwner) == 0)) {
    return;
  }
  known[aOwner] = { aSuccessor, aNow + kSuccessionLifetime };
}

} // namespace Requests::Internal

#include "requests/handover.h"

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

// Flows of a leaving run are idle for at most 10 min before they are dropped; 5 min are a margin.
constexpr std::chrono::minutes kSuccessionLife{ 15 };
constexpr size_t kMaxSuccessions = 1024;
// 50,000 flows take 12 s at 200 flows in each tick of 50 ms, and the burst fits a socket buffer.
constexpr size_t kTransfersInTick = 200;
constexpr milliseconds kResendTime{ 200 };
constexpr milliseconds kLeaveNoticeTime{ 200 };
constexpr std::chrono::seconds kSuccessorNoticeTime{ 5 };

void
SendSuccession(Work& aWork, const Run& aOwner, const Run& aSuccessor)
{
  lw::requestpeer::RequestPeerPacket packet;
  *packet.mutable_succession()->mutable_owner() = ToMessage(aOwner);
  *packet.mutable_succession()->mutable_successor() = ToMessage(aSuccessor);
  const std::string payload = packet.SerializeAsString();
  for (const Membership::Member& member : aWork.mContext.mView.mMembers) {
    if (member.mId != aWork.mState.mSelf.mInstance) {
      aWork.mEffects.mToPeers.push_back({ member.mId, payload });
    }
  }
}

void
SendTransfer(Work& aWork, PendingTransfer& aTransfer)
{
  const Base::TimePoint now = aWork.mContext.mNow;
  const auto age = std::chrono::duration_cast<milliseconds>(now - aTransfer.mFrozenAt);
  aTransfer.mPacket.mutable_transfer()->set_age_ms(static_cast<uint32_t>(age.count()));
  aTransfer.mSentAt = now;
  const Base::InstanceId target(aTransfer.mPacket.transfer().successor().instance());
  aWork.mEffects.mToPeers.push_back({ target, aTransfer.mPacket.SerializeAsString() });
  CountEvent(aWork.mEffects, Event::TransferSent);
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

/// Takes a flow out of the table for good: from here on only its transfer is sent.
void
Freeze(Work& aWork, Base::FlowNumber aNumber)
{
  State& state = aWork.mState;
  PendingTransfer pending;
  pending.mFrozenAt = aWork.mContext.mNow;
  WriteTransfer(aWork, aNumber, *pending.mPacket.mutable_transfer());
  const auto first = state.mWaiting.lower_bound({ aNumber, Base::RequestNumber(0) });
  std::vector<CallKey> held;
  for (auto key = first; key != state.mWaiting.end() && key->mFlow == aNumber; ++key) {
    held.push_back(*key);
  }
  for (const CallKey& key : held) {
    ForgetCall(state, key);
  }
  RemoveFlow(state.mFlows, aNumber);
  const auto added = state.mHandover.mPending.emplace(aNumber, std::move(pending)).first;
  SendTransfer(aWork, added->second);
}

void
FreezeIdleFlows(Work& aWork)
{
  State& state = aWork.mState;
  std::vector<Base::FlowNumber> ready;
  for (const auto& [number, flow] : state.mFlows.mFlows) {
    if (ready.size() == kTransfersInTick) {
      break;
    }
    if (flow.mOpenCalls == 0 || !HasRunningWork(state, number)) {
      ready.push_back(number);
    }
  }
  for (Base::FlowNumber number : ready) {
    Freeze(aWork, number);
  }
}

void
RepeatSuccessions(Work& aWork, bool aHasChanged)
{
  Successions& known = aWork.mState.mSuccessions;
  const Base::TimePoint now = aWork.mContext.mNow;
  if (now < known.mNextNotice && !aHasChanged) {
    return;
  }
  known.mNextNotice = now + kSuccessorNoticeTime;
  for (auto entry = known.mAccepted.begin(); entry != known.mAccepted.end();) {
    if (entry->second.mLastTransfer + kSuccessionLife <= now) {
      entry = known.mAccepted.erase(entry);
      continue;
    }
    // While the sender is there it still has a part of the flows that it took over from others.
    const Run& sender = entry->first;
    const bool isSenderGone = aWork.mState.mRuns.mMembers.count(sender) == 0;
    for (const Run& origin : entry->second.mOrigins) {
      if (isSenderGone || IsSameRun(origin, sender)) {
        SendSuccession(aWork, origin, aWork.mState.mSelf);
      }
    }
    ++entry;
  }
}

void
SendConfirmation(Work& aWork, const lw::requestpeer::FlowTransfer& aTransfer)
{
  lw::requestpeer::RequestPeerPacket packet;
  lw::requestpeer::FlowTransferConfirmed& confirmed = *packet.mutable_confirmed();
  *confirmed.mutable_sender() = aTransfer.sender();
  *confirmed.mutable_successor() = aTransfer.successor();
  *confirmed.mutable_upstream() = aTransfer.upstream();
  confirmed.set_flow(aTransfer.flow());
  aWork.mEffects.mToPeers.push_back(
    { Base::InstanceId(aTransfer.sender().instance()), packet.SerializeAsString() });
}

void
SendRejection(Work& aWork, const lw::requestpeer::FlowTransfer& aTransfer)
{
  const std::optional<Run>& next = aWork.mState.mHandover.mSuccessor;
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
  aWork.mEffects.mToPeers.push_back(
    { Base::InstanceId(aTransfer.sender().instance()), packet.SerializeAsString() });
}

/// \return the flow that is on its way to this successor, or the end.
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
BeginHandover(Work& aWork)
{
  State& state = aWork.mState;
  if (state.mHandover.mIsLeaving) {
    return;
  }
  state.mHandover.mIsLeaving = true;
  const Membership::Member* successor = SelectOther(aWork, state.mSelf.mIncarnation.mValue);
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
      HoldCall(state, key);
    }
  }
}

void
TickHandover(Work& aWork)
{
  RepeatSuccessions(aWork, UpdateRuns(aWork.mState.mRuns, aWork.mContext));
  Handover& handover = aWork.mState.mHandover;
  const Base::TimePoint now = aWork.mContext.mNow;
  if (!handover.mIsLeaving || !handover.mSuccessor.has_value()) {
    return;
  }
  if (now >= handover.mNextNotice && aWork.mState.mShard == 0) {
    handover.mNextNotice = now + kLeaveNoticeTime;
    ++handover.mNotices;
    SendSuccession(aWork, aWork.mState.mSelf, *handover.mSuccessor);
  }
  size_t sent = 0;
  for (auto& [number, pending] : handover.mPending) {
    if (now >= pending.mSentAt + kResendTime && sent < kTransfersInTick) {
      SendTransfer(aWork, pending);
      ++sent;
    }
  }
  FreezeIdleFlows(aWork);
}

void
AcceptTransfer(Work& aWork, const lw::requestpeer::FlowTransfer& aTransfer)
{
  State& state = aWork.mState;
  const Run sender = FromMessage(aTransfer.sender());
  const bool isForUs = IsSameRun(FromMessage(aTransfer.successor()), state.mSelf);
  if (!isForUs) {
    CountEvent(aWork.mEffects, Event::DropTransferNotForUs);
    return;
  }
  const Base::TimePoint now = aWork.mContext.mNow;
  const Base::FlowNumber number(aTransfer.flow());
  const auto known = state.mSuccessions.mAccepted.find(sender);
  if (known != state.mSuccessions.mAccepted.end() && known->second.mFlows.count(number) != 0) {
    SendConfirmation(aWork, aTransfer);
    return;
  }
  if (state.mHandover.mIsLeaving) {
    SendRejection(aWork, aTransfer);
    CountEvent(aWork.mEffects, Event::DropTransferNotForUs);
    return;
  }
  if (state.mFlows.mFlows.size() >= aWork.mContext.mLimits.mMaxFlows) {
    CountEvent(aWork.mEffects, Event::DropTransferTableFull);
    return;
  }
  if (!ReadTransfer(aWork, aTransfer)) {
    CountEvent(aWork.mEffects, Event::DropMalformed);
    return;
  }
  const Run origin = FromMessage(aTransfer.origin());
  Successions::Accepted& accepted = state.mSuccessions.mAccepted[sender];
  accepted.mFlows.insert(number);
  accepted.mLastTransfer = now;
  if (accepted.mOrigins.insert(sender).second) {
    SendSuccession(aWork, sender, state.mSelf);
  }
  accepted.mOrigins.insert(origin);
  AcceptSuccession(state, sender, state.mSelf, now);
  SendConfirmation(aWork, aTransfer);
  CountEvent(aWork.mEffects, Event::TransferAccepted);
}

void
AcceptConfirmation(Work& aWork, const lw::requestpeer::FlowTransferConfirmed& aConfirmed)
{
  auto& pending = aWork.mState.mHandover.mPending;
  const auto found =
    FindPending(aWork.mState, aConfirmed.sender(), aConfirmed.successor(), aConfirmed.flow());
  if (found != pending.end()) {
    pending.erase(found);
    CountEvent(aWork.mEffects, Event::TransferConfirmed);
  }
}

void
AcceptRejection(Work& aWork, const lw::requestpeer::FlowTransferRejected& aRejected)
{
  State& state = aWork.mState;
  const auto found =
    FindPending(state, aRejected.sender(), aRejected.successor(), aRejected.flow());
  if (found == state.mHandover.mPending.end()) {
    return;
  }
  // The successor's successor keeps the chain of notices whole. It may be this instance, if both
  // chose each other.
  Run next = FromMessage(aRejected.next());
  if (next.mInstance == state.mSelf.mInstance) {
    const Base::InstanceId rejecting(aRejected.successor().instance());
    const Membership::Member* other =
      SelectOther(aWork, state.mSelf.mIncarnation.mValue, rejecting);
    if (other == nullptr) {
      return;
    }
    next = { other->mId, other->mIncarnation };
  }
  state.mHandover.mSuccessor = next;
  *found->second.mPacket.mutable_transfer()->mutable_successor() = ToMessage(next);
  SendTransfer(aWork, found->second);
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
  known[aOwner] = { aSuccessor, aNow + kSuccessionLife };
}

} // namespace Requests::Internal

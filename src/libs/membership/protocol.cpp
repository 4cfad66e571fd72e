#include "membership/protocol.h"

#include "base/hash.h"
#include "membership/compose.h"
#include "membership/digest.h"
#include "membership/gossip.h"
#include "membership/leases.h"
#include "membership/probing.h"
#include "membership/records.h"
#include "membership/retirement.h"

#include <algorithm>

namespace Membership {

namespace {

using lw::membership::Message;

constexpr Base::Duration kPullSpacing = std::chrono::milliseconds(150);
/// Size limit of the final record of a leaving instance, which holds few claims by then.
constexpr size_t kLeaveBytes = 1000;
/// Limit of pulls, and of rumors, in one reply. Keeps them within one datagram.
constexpr int kMaxPulls = 40;
/// A tick that is later than this indicates that the process was stopped and datagrams were queued.
constexpr Base::Duration kPauseThreshold = std::chrono::milliseconds(500);
/// Assumed maximum clock drift per second. The smallest clock difference is increased by it.
constexpr Base::Duration kDriftPerSecond = std::chrono::milliseconds(1);
constexpr Base::Duration kMinCountedDelay = std::chrono::milliseconds(50);

/// Estimates the queueing delay of a datagram from the smallest clock difference seen so far.
/// \return the delay, or nothing if the datagram may have been queued and the clock of the sender
/// is unknown.
std::optional<Base::Duration>
QueueingDelay(State& aState, Record& aSender, const Message& aMessage, Base::TimePoint aNow)
{
  const Base::Duration sent = std::chrono::milliseconds(aMessage.clock_ms());
  const Base::Duration difference = (aNow - aState.mStartedAt) - sent;
  if (!aSender.mClockOffset) {
    if (aNow - aState.mLastTick > kPauseThreshold) {
      return std::nullopt;
    }
    aSender.mClockOffset = difference;
    aSender.mClockOffsetAt = aNow;
    return Base::Duration::zero();
  }
  const auto seconds =
    std::chrono::duration_cast<std::chrono::seconds>(aNow - aSender.mClockOffsetAt);
  *aSender.mClockOffset += kDriftPerSecond * seconds.count();
  aSender.mClockOffsetAt += seconds;
  aSender.mClockOffset = std::min(*aSender.mClockOffset, difference);
  const Base::Duration delay = difference - *aSender.mClockOffset;
  if (delay > kMinCountedDelay) {
    ++aState.mCounts.mDelayedDatagrams;
  }
  return delay;
}

void
AddPull(State& aState, Base::InstanceId aId, Base::TimePoint aNow, Message& aReply)
{
  Record* record = FindRecord(aState, aId);
  const bool recent = record != nullptr && aNow - record->mPulledAt < kPullSpacing;
  if (recent || aId == aState.mSelf || aReply.pulls_size() >= kMaxPulls) {
    return;
  }
  lw::membership::Pull* pull = aReply.add_pulls();
  pull->set_id(aId.mValue);
  if (record != nullptr) {
    record->mPulledAt = aNow;
    pull->set_epoch(record->mEpoch);
    pull->set_counter(record->mCopiedCounter);
    pull->set_removals(record->mRemovalsCounter);
  }
  ++aState.mCounts.mPulls;
}

void
AnswerPull(State& aState,
           const lw::membership::Pull& aPull,
           Base::TimePoint aNow,
           ReplyWriter& aReply)
{
  const Base::InstanceId id(aPull.id());
  Record* record = FindRecord(aState, id);
  if (record == nullptr) {
    return;
  }
  if (!IsActiveMember(*record) && record->mState != lw::membership::LEFT &&
      aReply.First().rumors_size() < kMaxPulls) {
    *aReply.First().add_rumors() = MakeRumor(*record, aNow);
  }
  if (aPull.epoch() > record->mEpoch ||
      (aPull.epoch() == record->mEpoch && aPull.counter() > record->mCopiedCounter)) {
    AddPull(aState, id, aNow, aReply.First());
    return;
  }
  // With equal counters two runs share an epoch, and the header tells which one is newer.
  const bool sameRun = aPull.epoch() == record->mEpoch;
  aReply.AddDelta(*record, sameRun ? aPull.counter() : 0, sameRun ? aPull.removals() : 0, aNow);
}

void
HandleDeltas(State& aState, const Message& aMessage, Base::TimePoint aNow, Message& aReply)
{
  for (const auto& delta : aMessage.deltas()) {
    const Base::InstanceId id(delta.id());
    switch (ApplyDelta(aState, delta, aNow)) {
      case DeltaOutcome::Rejected:
        ++aState.mCounts.mRejectedMessages;
        break;
      case DeltaOutcome::Known:
        break;
      case DeltaOutcome::Gap:
        AddPull(aState, id, aNow, aReply);
        ResolveConflicts(aState, id, aNow);
        break;
      case DeltaOutcome::Applied:
        ResolveConflicts(aState, id, aNow);
        break;
    }
  }
}

size_t
CountCopiedMembers(const State& aState)
{
  return std::count_if(aState.mRecords.begin(), aState.mRecords.end(), [](const auto& aEntry) {
    return IsActiveMember(aEntry.second) && aEntry.second.mCopiedCounter > 0;
  });
}

void
HandleDigest(State& aState,
             const Settings& aSettings,
             const Message& aMessage,
             Base::TimePoint aArrival,
             Base::TimePoint aNow,
             Message& aReply)
{
  const DigestResult digest = ApplyDigest(aState, aSettings, aMessage, aArrival);
  if (!digest.mValid) {
    ++aState.mCounts.mRejectedMessages;
    return;
  }
  for (Base::InstanceId id : digest.mDiffering) {
    AddPull(aState, id, aNow, aReply);
  }
  for (Base::InstanceId id : digest.mLocallyDead) {
    const Record& record = *FindRecord(aState, id);
    if (record.mState != lw::membership::LEFT && aReply.rumors_size() < kMaxPulls) {
      *aReply.add_rumors() = MakeRumor(record, aNow);
    }
  }
  if (!aMessage.joining()) {
    aState.mContactedReadyMember = true;
    const bool complete = aMessage.members() > 0 && digest.mAllComplete &&
                          CountCopiedMembers(aState) >= aMessage.members();
    aState.mReady = aState.mReady || complete;
  }
}

bool
HasContent(const Message& aMessage)
{
  return aMessage.ack() != 0 || aMessage.deltas_size() > 0 || aMessage.pulls_size() > 0 ||
         aMessage.rumors_size() > 0 || !aMessage.digest().empty();
}

/// Adds the rumor to every message to a suspect, so that the suspect can refute it in time despite
/// message loss.
void
NotifySuspects(const State& aState, Base::TimePoint aNow, Outbox& aOutbox)
{
  for (Outgoing& outgoing : aOutbox) {
    const Record* record = FindRecord(aState, outgoing.mTo);
    if (record != nullptr && record->mHealth == Health::Suspect) {
      *outgoing.mMessage.add_rumors() = MakeRumor(*record, aNow);
    }
  }
}

/// Notifies a sender that is known to this instance as another run, as dead or as suspect, because
/// only the sender can refute that.
void
NotifySenderOfItsRecord(const State& aState,
                        const Sender& aSender,
                        Base::TimePoint aNow,
                        ReplyWriter& aReply)
{
  const Record* record = FindRecord(aState, aSender.mId);
  if (record == nullptr) {
    aReply.First().add_pulls()->set_id(aSender.mId.mValue);
    return;
  }
  if (record->mIncarnation != aSender.mIncarnation) {
    aReply.AddDelta(*record, record->mCopiedCounter, record->mRemovalsCounter, aNow);
  } else if (record->mHealth != Health::Alive) {
    *aReply.First().add_rumors() = MakeRumor(*record, aNow);
  }
}

} // namespace

State
Start(const Identity& aIdentity, Base::TimePoint aNow, Base::RandomSource& aRandom)
{
  State state;
  state.mSelf = aIdentity.mId;
  state.mRegionHash = static_cast<uint32_t>(Base::StableHash(aIdentity.mRegion));
  state.mStartedAt = aNow;
  state.mLastTick = aNow;
  state.mNextGossip = aNow;
  // Instances that start at the same time spread their probes over the interval.
  state.mNextProbe = aNow + std::chrono::milliseconds(Base::NextBelow(aRandom, 1000));
  state.mNextContact = aNow;
  Record& own = state.mRecords[aIdentity.mId];
  own.mId = aIdentity.mId;
  own.mIncarnation = aIdentity.mIncarnation;
  own.mAvailabilityZone = aIdentity.mAvailabilityZone;
  own.mEndpoint = aIdentity.mPeerEndpoint;
  own.mEpoch = 1;
  AdvanceOwnCounter(state);
  return state;
}

Outbox
Tick(State& aState, const Settings& aSettings, Base::TimePoint aNow, Base::RandomSource& aRandom)
{
  if (OwnRecord(aState).mState == lw::membership::LEFT) {
    return {};
  }
  if (aNow - aState.mLastTick > kPauseThreshold) {
    ResetTimeoutsAfterPause(aState, aNow - aState.mLastTick, aNow);
  }
  aState.mLastTick = aNow;
  if (!aState.mContactedReadyMember && aNow - aState.mStartedAt >= aSettings.mJoinWait) {
    aState.mReady = true;
  }
  UpdateOwnClaims(aState, aSettings, aNow);
  TakeOverFromUnresponsiveHolders(aState, aSettings, aNow);
  PurgeRecords(aState, aNow);
  Outbox outbox = TickProbes(aState, aSettings, aNow, aRandom);
  for (Outgoing& outgoing : outbox) {
    AddCommonFields(aState, aNow, outgoing.mMessage);
    PiggybackRumors(aState, aSettings, aNow, outgoing.mMessage);
  }
  SendGossip(aState, aSettings, aNow, aRandom, outbox);
  NotifySuspects(aState, aNow, outbox);
  SendContacts(aState, aSettings, aNow, aRandom, outbox);
  return outbox;
}

Outbox
HandleMessage(State& aState,
              const Settings& aSettings,
              const Sender& aSender,
              const Message& aMessage,
              Base::TimePoint aNow)
{
  if (aSender.mId == aState.mSelf || OwnRecord(aState).mState == lw::membership::LEFT) {
    return {};
  }
  UpdateOwnClaims(aState, aSettings, aNow);
  ReplyWriter reply{ aState, aSettings };
  Outbox outbox;
  HandleDeltas(aState, aMessage, aNow, reply.First());
  NotifySenderOfItsRecord(aState, aSender, aNow, reply);
  Record* sender = FindRecord(aState, aSender.mId);
  if (sender != nullptr && sender->mIncarnation == aSender.mIncarnation) {
    const std::optional<Base::Duration> delay = QueueingDelay(aState, *sender, aMessage, aNow);
    if (delay) {
      HandleDigest(aState, aSettings, aMessage, aNow - *delay, aNow, reply.First());
    }
    outbox = HandleProbeFields(aState, *sender, aMessage, aNow, reply.First());
    for (const auto& renewal : aMessage.renewals()) {
      ApplyRenewal(aState, aSettings, renewal, aNow - delay.value_or(aSettings.mLease));
    }
  }
  for (const auto& rumor : aMessage.rumors()) {
    ApplyRumor(aState, aSettings, rumor, aNow);
  }
  for (const auto& pull : aMessage.pulls()) {
    AnswerPull(aState, pull, aNow, reply);
  }
  if (aMessage.joining() && aMessage.members() > 0) {
    AddFullDigest(aState, aNow, reply.mMessages.emplace_back());
  }
  for (Outgoing& outgoing : outbox) {
    AddCommonFields(aState, aNow, outgoing.mMessage);
  }
  for (Message& message : reply.mMessages) {
    if (HasContent(message)) {
      AddCommonFields(aState, aNow, message);
      outbox.push_back({ aSender.mId, aSender.mEndpoint, std::move(message) });
    }
  }
  return outbox;
}

void
BeginLeave(State& aState, Base::InstanceId aSuccessor)
{
  Record& own = OwnRecord(aState);
  if (own.mState != lw::membership::ALIVE) {
    return;
  }
  own.mState = lw::membership::LEAVING;
  own.mSuccessor = aSuccessor;
  AdvanceOwnCounter(aState);
}

Outbox
FinishLeave(State& aState, Base::TimePoint aNow, Base::RandomSource& aRandom)
{
  Record& own = OwnRecord(aState);
  own.mState = lw::membership::LEFT;
  AdvanceOwnCounter(aState);
  Outbox outbox;
  std::vector<Base::InstanceId> ring = ActiveMembers(aState);
  // Sends more copies than for other changes, because this instance cannot answer pulls later.
  const size_t copies = 2UL * RetransmitLimit(aState);
  for (size_t i = 0; i < copies && !ring.empty(); ++i) {
    const size_t chosen = Base::NextBelow(aRandom, ring.size());
    const Record& peer = *FindRecord(aState, ring[chosen]);
    Message message;
    AddCommonFields(aState, aNow, message);
    *message.add_deltas() =
      MakeDelta(aState, own, own.mDisseminateFrom, own.mDisseminateFrom, aNow, kLeaveBytes);
    outbox.push_back({ peer.mId, peer.mEndpoint, std::move(message) });
    ring.erase(ring.begin() + static_cast<ptrdiff_t>(chosen));
  }
  return outbox;
}

void
SetVersionInForce(State& aState, Base::ConfigVersion aVersion)
{
  Record& own = OwnRecord(aState);
  own.mVersionInForce = std::max(own.mVersionInForce, aVersion);
}

Base::ConfigVersion
NewestVersion(const State& aState)
{
  Base::ConfigVersion newest;
  for (const auto& [id, record] : aState.mRecords) {
    newest = std::max(newest, record.mVersionInForce);
  }
  return newest;
}

} // namespace Membership

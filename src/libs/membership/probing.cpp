#include "membership/probing.h"

#include "membership/claimcodec.h"
#include "membership/records.h"

#include <algorithm>

namespace Membership {

namespace {

constexpr size_t kIndirectPeers = 2;
constexpr Base::Duration kTenth = std::chrono::milliseconds(100);
/// Minimum interval between extra probes of members without recent heartbeats. Prevents a flood of
/// probes when the whole network slows down.
constexpr Base::Duration kStaleProbeSpacing = std::chrono::milliseconds(250);

template<typename T>
void
Shuffle(std::vector<T>& aItems, Base::RandomSource& aRandom)
{
  for (size_t i = aItems.size(); i > 1; --i) {
    std::swap(aItems[i - 1], aItems[Base::NextBelow(aRandom, i)]);
  }
}

std::vector<Base::InstanceId>
OtherMembers(const State& aState, Base::InstanceId aExcept)
{
  std::vector<Base::InstanceId> others;
  for (const auto& [id, record] : aState.mRecords) {
    if (IsActiveMember(record) && id != aState.mSelf && id != aExcept) {
      others.push_back(id);
    }
  }
  return others;
}

Outgoing
MessageTo(const Record& aRecord)
{
  return { aRecord.mId, aRecord.mEndpoint, {} };
}

void
Suspect(State& aState, Record& aRecord, uint32_t aCounter, Base::TimePoint aSince)
{
  if (aRecord.mHealth != Health::Alive) {
    return;
  }
  aRecord.mHealth = Health::Suspect;
  aRecord.mHealthCounter = std::max(aRecord.mNewestCounter, aCounter);
  aRecord.mHealthSince = aSince;
  aRecord.mRemainingRumorSends = RetransmitLimit(aState);
  ++aState.mCounts.mSuspicions;
}

void
DeclareDead(State& aState, Record& aRecord, uint32_t aCounter, Base::TimePoint aNow)
{
  ++aState.mRevision;
  aRecord.mHealth = Health::Dead;
  aRecord.mHealthCounter = std::max(aRecord.mNewestCounter, aCounter);
  aRecord.mHealthSince = aNow;
  aRecord.mRemainingRumorSends = RetransmitLimit(aState);
  ++aState.mCounts.mDeaths;
}

void
SendProbe(State& aState, Record& aTarget, Base::TimePoint aNow, Outbox& aOutbox)
{
  const uint32_t sequence = aState.mNextSequence++;
  aState.mProbes.push_back({ sequence, aTarget.mId, aNow, false });
  aTarget.mProbedAt = aNow;
  aOutbox.push_back(MessageTo(aTarget));
  aOutbox.back().mMessage.set_ping(sequence);
  ++aState.mCounts.mProbes;
}

/// Probes the members in shuffled order, so that each member is probed once per round.
Record*
NextInOrder(State& aState, Base::RandomSource& aRandom)
{
  for (int attempt = 0; attempt < 2; ++attempt) {
    while (!aState.mProbeOrder.empty()) {
      Record* record = FindRecord(aState, aState.mProbeOrder.back());
      aState.mProbeOrder.pop_back();
      if (record != nullptr && IsActiveMember(*record)) {
        return record;
      }
    }
    aState.mProbeOrder = OtherMembers(aState, Base::InstanceId());
    Shuffle(aState.mProbeOrder, aRandom);
  }
  return nullptr;
}

Record*
StalestMember(State& aState, const Settings& aSettings, Base::TimePoint aNow)
{
  Record* stalest = nullptr;
  for (auto& [id, record] : aState.mRecords) {
    const bool candidate = id != aState.mSelf && IsActiveMember(record) &&
                           record.mHealth == Health::Alive &&
                           aNow - record.mLastHeartbeat > aSettings.mStaleHeartbeat &&
                           aNow - record.mProbedAt >= aSettings.mProbeInterval;
    if (candidate && (stalest == nullptr || record.mLastHeartbeat < stalest->mLastHeartbeat)) {
      stalest = &record;
    }
  }
  return stalest;
}

void
SendDueProbes(State& aState,
              const Settings& aSettings,
              Base::TimePoint aNow,
              Base::RandomSource& aRandom,
              Outbox& aOutbox)
{
  if (aNow >= aState.mNextStaleProbe) {
    Record* stalest = StalestMember(aState, aSettings, aNow);
    if (stalest != nullptr) {
      SendProbe(aState, *stalest, aNow, aOutbox);
      aState.mNextStaleProbe = aNow + kStaleProbeSpacing;
    }
  }
  if (aNow < aState.mNextProbe) {
    return;
  }
  aState.mNextProbe = std::max(aState.mNextProbe + aSettings.mProbeInterval, aNow);
  Record* target = NextInOrder(aState, aRandom);
  if (target != nullptr) {
    SendProbe(aState, *target, aNow, aOutbox);
  }
}

/// Requests probes from kIndirectPeers peers, and repeats the direct probe in case a datagram was
/// lost.
void
SendIndirectProbes(State& aState, Probe& aProbe, Base::RandomSource& aRandom, Outbox& aOutbox)
{
  aProbe.mIndirect = true;
  ++aState.mCounts.mIndirectProbes;
  aOutbox.push_back(MessageTo(*FindRecord(aState, aProbe.mTarget)));
  aOutbox.back().mMessage.set_ping(aProbe.mSequence);
  std::vector<Base::InstanceId> peers = OtherMembers(aState, aProbe.mTarget);
  Shuffle(peers, aRandom);
  peers.resize(std::min(peers.size(), kIndirectPeers));
  for (Base::InstanceId peer : peers) {
    aOutbox.push_back(MessageTo(*FindRecord(aState, peer)));
    lw::membership::PingRequest* request = aOutbox.back().mMessage.mutable_ping_request();
    request->set_target(aProbe.mTarget.mValue);
    request->set_sequence(aProbe.mSequence);
  }
}

void
AdvancePendingProbes(State& aState,
                     const Settings& aSettings,
                     Base::TimePoint aNow,
                     Base::RandomSource& aRandom,
                     Outbox& aOutbox)
{
  std::vector<Probe> waiting;
  waiting.swap(aState.mProbes);
  for (Probe& probe : waiting) {
    Record* target = FindRecord(aState, probe.mTarget);
    if (target == nullptr || !IsActiveMember(*target)) {
      continue;
    }
    const Base::Duration waited = aNow - probe.mSentAt;
    if (waited >= aSettings.mProbeTimeout) {
      Suspect(aState, *target, 0, aNow);
      continue;
    }
    if (waited >= aSettings.mDirectTimeout && !probe.mIndirect) {
      SendIndirectProbes(aState, probe, aRandom, aOutbox);
    }
    aState.mProbes.push_back(probe);
  }
}

void
ExpireSuspicions(State& aState, const Settings& aSettings, Base::TimePoint aNow)
{
  for (auto& [id, record] : aState.mRecords) {
    // A suspect whose heartbeats still arrive gets twice the time to refute. A member that can send
    // but not receive is declared dead after that.
    const bool fresh = aNow - record.mLastHeartbeat < aSettings.mStaleHeartbeat;
    const Base::Duration limit =
      fresh ? 2 * aSettings.mSuspicionTimeout : aSettings.mSuspicionTimeout;
    if (record.mHealth == Health::Suspect && record.mState != lw::membership::LEFT &&
        aNow - record.mHealthSince >= limit) {
      DeclareDead(aState, record, record.mHealthCounter, aNow);
    }
  }
}

} // namespace

Outbox
TickProbes(State& aState,
           const Settings& aSettings,
           Base::TimePoint aNow,
           Base::RandomSource& aRandom)
{
  Outbox outbox;
  AdvancePendingProbes(aState, aSettings, aNow, aRandom, outbox);
  ExpireSuspicions(aState, aSettings, aNow);
  SendDueProbes(aState, aSettings, aNow, aRandom, outbox);
  const auto old =
    std::remove_if(aState.mRelays.begin(), aState.mRelays.end(), [&](const RelayedProbe& aRelay) {
      return aNow - aRelay.mSentAt >= aSettings.mProbeTimeout;
    });
  aState.mRelays.erase(old, aState.mRelays.end());
  return outbox;
}

Outbox
HandleProbeFields(State& aState,
                  const Record& aSender,
                  const lw::membership::Message& aMessage,
                  Base::TimePoint aNow,
                  lw::membership::Message& aReply)
{
  Outbox outbox;
  if (aMessage.ping() != 0) {
    aReply.set_ack(aMessage.ping());
  }
  if (aMessage.has_ping_request() && aState.mRelays.size() < kMaxRelays) {
    const Record* target = FindRecord(aState, Base::InstanceId(aMessage.ping_request().target()));
    if (target != nullptr && target->mId != aState.mSelf) {
      const uint32_t sequence = aState.mNextSequence++;
      aState.mRelays.push_back({ sequence, aSender.mId, aMessage.ping_request().sequence(), aNow });
      outbox.push_back(MessageTo(*target));
      outbox.back().mMessage.set_ping(sequence);
    }
  }
  if (aMessage.ack() == 0) {
    return outbox;
  }
  // An acknowledgment with an unknown sequence number is late or duplicated and must not end a
  // newer probe.
  const auto probe =
    std::find_if(aState.mProbes.begin(), aState.mProbes.end(), [&](const Probe& aProbe) {
      return aProbe.mSequence == aMessage.ack();
    });
  if (probe != aState.mProbes.end()) {
    aState.mProbes.erase(probe);
  }
  const auto relay =
    std::find_if(aState.mRelays.begin(), aState.mRelays.end(), [&](const RelayedProbe& aRelay) {
      return aRelay.mSequence == aMessage.ack();
    });
  if (relay != aState.mRelays.end()) {
    const Record* origin = FindRecord(aState, relay->mOrigin);
    if (origin != nullptr) {
      outbox.push_back(MessageTo(*origin));
      outbox.back().mMessage.set_ack(relay->mOriginSequence);
    }
    aState.mRelays.erase(relay);
  }
  return outbox;
}

void
ApplyRumor(State& aState,
           const Settings& aSettings,
           const lw::membership::Rumor& aRumor,
           Base::TimePoint aNow)
{
  Record* record = FindRecord(aState, Base::InstanceId(aRumor.id()));
  if (record == nullptr || record->mState == lw::membership::LEFT) {
    return;
  }
  if (record->mId == aState.mSelf) {
    if (aRumor.epoch() > record->mEpoch) {
      RaiseOwnEpoch(aState, aRumor.epoch());
    } else if (aRumor.epoch() == record->mEpoch && aRumor.counter() >= record->mNewestCounter) {
      record->mCopiedCounter = std::max(record->mCopiedCounter, aRumor.counter());
      AdvanceOwnCounter(aState);
      ++aState.mCounts.mRefutations;
    }
    return;
  }
  const bool refuted =
    aRumor.epoch() != record->mEpoch || aRumor.counter() < record->mNewestCounter;
  if (refuted || record->mHealth == Health::Dead) {
    return;
  }
  // A member with a recent heartbeat becomes a suspect first and can refute the rumor, because
  // after a partition each side considers the other one dead.
  const bool fresh = aNow - record->mLastHeartbeat < aSettings.mStaleHeartbeat;
  if (aRumor.dead() && !fresh) {
    DeclareDead(aState, *record, aRumor.counter(), aNow);
    return;
  }
  const Base::Duration age = aRumor.dead() ? Base::Duration::zero()
                                           : std::min<Base::Duration>(kTenth * aRumor.age_tenths(),
                                                                      aSettings.mSuspicionTimeout);
  Suspect(aState, *record, aRumor.counter(), aNow - age);
}

lw::membership::Rumor
MakeRumor(const Record& aRecord, Base::TimePoint aNow)
{
  lw::membership::Rumor rumor;
  rumor.set_id(aRecord.mId.mValue);
  rumor.set_epoch(aRecord.mEpoch);
  rumor.set_counter(aRecord.mHealthCounter);
  rumor.set_dead(aRecord.mHealth == Health::Dead);
  rumor.set_age_tenths(rumor.dead() ? 0 : TenthsRoundedUp(aNow - aRecord.mHealthSince));
  return rumor;
}

void
ResetTimeoutsAfterPause(State& aState, Base::Duration aPause, Base::TimePoint aNow)
{
  aState.mProbes.clear();
  aState.mRelays.clear();
  aState.mNextStaleProbe = aNow + std::chrono::seconds(1);
  for (auto& [id, record] : aState.mRecords) {
    if (record.mHealth == Health::Suspect) {
      record.mHealthSince += aPause;
    }
  }
}

} // namespace Membership

#include "membership/records.h"

#include "base/hash.h"
#include "membership/claimcodec.h"
#include "membership/claimorder.h"
#include "membership/retirement.h"

#include <algorithm>

namespace Membership {

namespace {

using lw::membership::RecordDelta;

/// Changes are piggybacked for this time. Most members know them by then, and the others pull what
/// the digests show to be missing. Without the limit a mass join filled the datagrams of 80
/// instances for more than 20 s.
constexpr Base::Duration kDisseminationTime = std::chrono::seconds(2);

bool
IsNewerRun(const RecordDelta& aDelta, const Record& aRecord)
{
  return aDelta.epoch() > aRecord.mEpoch ||
         (aDelta.epoch() == aRecord.mEpoch && aDelta.incarnation() > aRecord.mIncarnation.mValue);
}

bool
IsSameRun(const RecordDelta& aDelta, const Record& aRecord)
{
  return aDelta.epoch() == aRecord.mEpoch && aDelta.incarnation() == aRecord.mIncarnation.mValue;
}

void
ScheduleDissemination(State& aState, Record& aRecord, uint32_t aFrom)
{
  ++aState.mRevision;
  if (aRecord.mRemainingSends == 0 || aFrom < aRecord.mDisseminateFrom) {
    aRecord.mDisseminateFrom = aFrom;
  }
  aRecord.mRemainingSends = RetransmitLimit(aState);
  aRecord.mDisseminateUntil = aState.mLastTick + kDisseminationTime;
}

void
RecordDeparture(State& aState, const Record& aRecord)
{
  const bool known = std::any_of(
    aState.mDeparted.begin(), aState.mDeparted.end(), [&aRecord](const Departed& aDeparted) {
      return aDeparted.mId == aRecord.mId && aDeparted.mIncarnation == aRecord.mIncarnation;
    });
  if (known) {
    return;
  }
  if (aState.mDeparted.size() >= kMaxDeparted) {
    aState.mDeparted.erase(aState.mDeparted.begin());
  }
  aState.mDeparted.push_back({ aRecord.mId, aRecord.mIncarnation, aRecord.mSuccessor });
}

void
ApplyHeader(State& aState, Record& aRecord, const RecordDelta& aDelta, Base::TimePoint aNow)
{
  if (aDelta.newest() <= aRecord.mNewestCounter) {
    return;
  }
  ++aState.mRevision;
  aRecord.mNewestCounter = aDelta.newest();
  aRecord.mState = aDelta.state();
  aRecord.mSuccessor = Base::InstanceId(aDelta.successor());
  aRecord.mAvailabilityZone = aDelta.availability_zone();
  aRecord.mEndpoint = *DecodeEndpoint(aDelta.address(), aDelta.port());
  if (aRecord.mHealth != Health::Alive && aRecord.mNewestCounter > aRecord.mHealthCounter) {
    aRecord.mHealth = Health::Alive;
    aRecord.mRemainingRumorSends = 0;
    aRecord.mLastHeartbeat = aNow;
  }
  if (aRecord.mState == lw::membership::LEFT) {
    RecordDeparture(aState, aRecord);
  }
}

Claim*
FindClaim(std::vector<Claim>& aClaims, const Base::Endpoint& aEndpoint)
{
  const auto found = std::find_if(aClaims.begin(), aClaims.end(), [&](const Claim& aClaim) {
    return aClaim.mEndpoint == aEndpoint;
  });
  return found != aClaims.end() ? &*found : nullptr;
}

bool
IsSameStart(const Claim& aLeft, const Claim& aRight)
{
  return aLeft.mGeneration == aRight.mGeneration && aLeft.mStartId == aRight.mStartId;
}

void
MergeClaim(std::vector<Claim>& aClaims, Claim aClaim, Base::TimePoint aNow)
{
  Claim* known = FindClaim(aClaims, aClaim.mEndpoint);
  if (known == nullptr) {
    aClaims.push_back(std::move(aClaim));
    return;
  }
  if (IsSameStart(*known, aClaim) && known->mLeaseEnd > aNow) {
    // A change neither renews nor interrupts a valid lease. After the end of a lease nothing is
    // carried over, because another service may have used the address since.
    aClaim.mLeaseEnd = known->mLeaseEnd;
    aClaim.mStartedAt = std::min(aClaim.mStartedAt, known->mStartedAt);
  }
  *known = std::move(aClaim);
}

/// Removes the claims that a full delta no longer contains.
void
RemoveUnlistedClaims(State& aState,
                     Record& aRecord,
                     const RecordDelta& aDelta,
                     Base::TimePoint aNow)
{
  const auto listed = [&aDelta](const Claim& aClaim) {
    return aClaim.mCounter > aDelta.to() ||
           std::any_of(
             aDelta.claims().begin(), aDelta.claims().end(), [&aClaim](const auto& aOther) {
               return aOther.address() == aClaim.mEndpoint.mAddress &&
                      aOther.port() == aClaim.mEndpoint.mPort;
             });
  };
  std::vector<Claim>& claims = aRecord.mClaims;
  const auto ended = std::stable_partition(claims.begin(), claims.end(), listed);
  std::for_each(
    ended, claims.end(), [&](const Claim& aClaim) { RetireAddress(aState, aClaim, aNow); });
  claims.erase(ended, claims.end());
}

Record&
AddRecord(State& aState, const RecordDelta& aDelta, Base::TimePoint aNow)
{
  Record& record = aState.mRecords[Base::InstanceId(aDelta.id())];
  std::move(record.mClaims.begin(), record.mClaims.end(), std::back_inserter(aState.mOrphans));
  record = Record();
  record.mId = Base::InstanceId(aDelta.id());
  record.mIncarnation = Base::Incarnation(aDelta.incarnation());
  record.mEpoch = aDelta.epoch();
  record.mLastHeartbeat = aNow;
  return record;
}

/// A restarted holder begins a new hold-down for an upstream that other instances already use. An
/// instance that knows a valid lease of the same start keeps the earlier hold-down.
void
CarryOverHoldDown(State& aState, Record& aRecord, Base::TimePoint aNow)
{
  for (Claim& claim : aRecord.mClaims) {
    if (claim.mStartedAt + kHoldDownTime <= aNow) {
      continue;
    }
    for (const ClaimRef& known : ClaimsOf(aState, claim.mEndpoint)) {
      if (IsSameStart(*known.mClaim, claim) && known.mClaim->mLeaseEnd > aNow) {
        claim.mStartedAt = std::min(claim.mStartedAt, known.mClaim->mStartedAt);
      }
    }
  }
}

bool
ApplyClaims(State& aState, Record& aRecord, const RecordDelta& aDelta, Base::TimePoint aNow)
{
  std::vector<Claim> claims;
  for (const lw::membership::Claim& message : aDelta.claims()) {
    std::optional<Claim> claim = DecodeClaim(message, aNow);
    if (!claim) {
      return false;
    }
    claim->mAvailabilityZone = aRecord.mAvailabilityZone;
    claims.push_back(std::move(*claim));
  }
  if (aDelta.from() == 0) {
    RemoveUnlistedClaims(aState, aRecord, aDelta, aNow);
  }
  for (Claim& claim : claims) {
    MergeClaim(aRecord.mClaims, std::move(claim), aNow);
  }
  CarryOverHoldDown(aState, aRecord, aNow);
  return true;
}

} // namespace

uint8_t
VersionTag(const Record& aRecord)
{
  const uint64_t run = Base::StableHash({ aRecord.mIncarnation.mValue, aRecord.mEpoch });
  return static_cast<uint8_t>(run + aRecord.mCopiedCounter);
}

bool
IsActiveMember(const Record& aRecord)
{
  return aRecord.mHealth != Health::Dead && aRecord.mState != lw::membership::LEFT;
}

std::vector<Base::InstanceId>
ActiveMembers(const State& aState)
{
  std::vector<Base::InstanceId> ring;
  for (const auto& [id, record] : aState.mRecords) {
    if (IsActiveMember(record)) {
      ring.push_back(id);
    }
  }
  return ring;
}

Record&
OwnRecord(State& aState)
{
  return aState.mRecords.at(aState.mSelf);
}

const Record*
FindRecord(const State& aState, Base::InstanceId aId)
{
  const auto found = aState.mRecords.find(aId);
  return found != aState.mRecords.end() ? &found->second : nullptr;
}

Record*
FindRecord(State& aState, Base::InstanceId aId)
{
  const auto found = aState.mRecords.find(aId);
  return found != aState.mRecords.end() ? &found->second : nullptr;
}

uint32_t
RetransmitLimit(const State& aState)
{
  uint32_t sends = 2;
  for (size_t members = aState.mRecords.size(); members > 1; members /= 2) {
    ++sends;
  }
  return sends;
}

uint32_t
AdvanceOwnCounter(State& aState)
{
  Record& own = OwnRecord(aState);
  ScheduleDissemination(aState, own, own.mCopiedCounter);
  own.mNewestCounter = own.mRemovalsCounter = ++own.mCopiedCounter;
  return own.mCopiedCounter;
}

void
RaiseOwnEpoch(State& aState, uint32_t aEpoch)
{
  Record& own = OwnRecord(aState);
  own.mEpoch = aEpoch + 1;
  AdvanceOwnCounter(aState);
  own.mDisseminateFrom = 0;
  ++aState.mCounts.mRefutations;
}

RecordDelta
MakeDelta(const State& aState,
          const Record& aRecord,
          uint32_t aFrom,
          uint32_t aRemovals,
          Base::TimePoint aNow,
          size_t aMaxBytes)
{
  RecordDelta delta;
  delta.set_group(aState.mRegionHash);
  delta.set_id(aRecord.mId.mValue);
  delta.set_incarnation(aRecord.mIncarnation.mValue);
  delta.set_epoch(aRecord.mEpoch);
  delta.set_from(aRemovals < aRecord.mPurgedCounter ? 0 : aFrom);
  delta.set_to(aRecord.mCopiedCounter);
  delta.set_newest(aRecord.mCopiedCounter);
  delta.set_state(aRecord.mState);
  delta.set_availability_zone(aRecord.mAvailabilityZone);
  delta.set_address(aRecord.mEndpoint.mAddress);
  delta.set_port(aRecord.mEndpoint.mPort);
  delta.set_successor(aRecord.mSuccessor.mValue);

  std::vector<const Claim*> changed;
  for (const Claim& claim : aRecord.mClaims) {
    if (claim.mCounter > delta.from()) {
      changed.push_back(&claim);
    }
  }
  std::sort(changed.begin(), changed.end(), [](const Claim* aLeft, const Claim* aRight) {
    return aLeft->mCounter < aRight->mCounter;
  });
  size_t bytes = delta.ByteSizeLong();
  for (const Claim* claim : changed) {
    const lw::membership::Claim message = EncodeClaim(*claim, aNow);
    bytes += message.ByteSizeLong() + 2;
    if (bytes > aMaxBytes && delta.claims_size() > 0) {
      delta.set_to(delta.claims(delta.claims_size() - 1).counter());
      break;
    }
    *delta.add_claims() = message;
  }
  return delta;
}

DeltaOutcome
ApplyDelta(State& aState, const RecordDelta& aDelta, Base::TimePoint aNow)
{
  const Base::InstanceId id(aDelta.id());
  const bool refused = aDelta.group() != aState.mRegionHash ||
                       !DecodeEndpoint(aDelta.address(), aDelta.port()) || id.mValue == 0 ||
                       aDelta.state() == lw::membership::INSTANCE_STATE_UNSPECIFIED ||
                       aDelta.from() > aDelta.to() || aDelta.to() > aDelta.newest();
  if (refused) {
    return DeltaOutcome::Rejected;
  }
  Record* record = FindRecord(aState, id);
  if (id == aState.mSelf) {
    if (record->mIncarnation.mValue != aDelta.incarnation() && aDelta.epoch() >= record->mEpoch) {
      RaiseOwnEpoch(aState, aDelta.epoch());
    }
    return DeltaOutcome::Known;
  }
  if (record == nullptr || IsNewerRun(aDelta, *record)) {
    record = &AddRecord(aState, aDelta, aNow);
  } else if (!IsSameRun(aDelta, *record)) {
    return DeltaOutcome::Known;
  }
  ApplyHeader(aState, *record, aDelta, aNow);
  // A sender that replaces the whole copy starts from 0, even if its delta ends below the local
  // counter.
  const bool replaces = aDelta.from() == 0 && aDelta.newest() > record->mCopiedCounter;
  if (aDelta.to() <= record->mCopiedCounter && !replaces) {
    return DeltaOutcome::Known;
  }
  if (aDelta.from() > record->mCopiedCounter) {
    return DeltaOutcome::Gap;
  }
  if (!ApplyClaims(aState, *record, aDelta, aNow)) {
    return DeltaOutcome::Rejected;
  }
  ScheduleDissemination(aState, *record, aDelta.from());
  record->mCopiedCounter = aDelta.to();
  if (replaces) {
    record->mRemovalsCounter = record->mPurgedCounter = aDelta.newest();
  }
  record->mRemovalsCounter = std::max(record->mRemovalsCounter, record->mCopiedCounter);
  return aDelta.to() < aDelta.newest() ? DeltaOutcome::Gap : DeltaOutcome::Applied;
}

} // namespace Membership

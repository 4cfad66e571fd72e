#include "membership/records.h"

#include "base/hash.h"
#include "membership/claimcodec.h"
#include "membership/claimorder.h"
#include "membership/retirement.h"

#include <algorithm>

namespace Membership {

namespace {

using lw::membership::RecordDelta;

/// Changes are passed on unasked for this time. Most members know them by then, and digests show
/// the others what they miss. Without the limit the copies of a mass join filled the datagrams of
/// 80 instances for more than 20 s.
constexpr Base::Duration kHotTime = std::chrono::seconds(2);

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
MarkHot(State& aState, Record& aRecord, uint32_t aFrom)
{
  ++aState.mRevision;
  if (aRecord.mHotSends == 0 || aFrom < aRecord.mHotFrom) {
    aRecord.mHotFrom = aFrom;
  }
  aRecord.mHotSends = SpreadSends(aState);
  aRecord.mHotUntil = aState.mLastTick + kHotTime;
}

void
NoteDeparture(State& aState, const Record& aRecord)
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
  if (aDelta.newest() <= aRecord.mNewest) {
    return;
  }
  ++aState.mRevision;
  aRecord.mNewest = aDelta.newest();
  aRecord.mState = aDelta.state();
  aRecord.mSuccessor = Base::InstanceId(aDelta.successor());
  aRecord.mAvailabilityZone = aDelta.availability_zone();
  aRecord.mEndpoint = *DecodeEndpoint(aDelta.address(), aDelta.port());
  if (aRecord.mHealth != Health::Alive && aRecord.mNewest > aRecord.mHealthCounter) {
    aRecord.mHealth = Health::Alive;
    aRecord.mRumorSends = 0;
    aRecord.mBeat = aNow;
  }
  if (aRecord.mState == lw::membership::LEFT) {
    NoteDeparture(aState, aRecord);
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
    // The running lease goes on: the change itself is no renewal and no interruption. After the end
    // of a lease nothing is carried over, because another service may have had the address.
    aClaim.mLeaseEnd = known->mLeaseEnd;
    aClaim.mStartedAt = std::min(aClaim.mStartedAt, known->mStartedAt);
  }
  *known = std::move(aClaim);
}

/// Claims that a full delta does not list any more have ended.
void
RemoveUnlisted(State& aState, Record& aRecord, const RecordDelta& aDelta, Base::TimePoint aNow)
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
  record.mBeat = aNow;
  return record;
}

/// A holder without memory starts a hold for an upstream that others use already. An instance that
/// knows the lease of the same start goes on.
void
ContinueHolds(State& aState, Record& aRecord, Base::TimePoint aNow)
{
  for (Claim& claim : aRecord.mClaims) {
    if (claim.mStartedAt + kHold <= aNow) {
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
    RemoveUnlisted(aState, aRecord, aDelta, aNow);
  }
  for (Claim& claim : claims) {
    MergeClaim(aRecord.mClaims, std::move(claim), aNow);
  }
  ContinueHolds(aState, aRecord, aNow);
  return true;
}

} // namespace

uint8_t
VersionTag(const Record& aRecord)
{
  const uint64_t run = Base::StableHash({ aRecord.mIncarnation.mValue, aRecord.mEpoch });
  return static_cast<uint8_t>(run + aRecord.mCopied);
}

bool
IsInRing(const Record& aRecord)
{
  return aRecord.mHealth != Health::Dead && aRecord.mState != lw::membership::LEFT;
}

std::vector<Base::InstanceId>
Ring(const State& aState)
{
  std::vector<Base::InstanceId> ring;
  for (const auto& [id, record] : aState.mRecords) {
    if (IsInRing(record)) {
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
SpreadSends(const State& aState)
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
  MarkHot(aState, own, own.mCopied);
  own.mNewest = own.mRemovals = ++own.mCopied;
  return own.mCopied;
}

void
OutbidOwnEpoch(State& aState, uint32_t aEpoch)
{
  Record& own = OwnRecord(aState);
  own.mEpoch = aEpoch + 1;
  AdvanceOwnCounter(aState);
  own.mHotFrom = 0;
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
  delta.set_group(aState.mGroup);
  delta.set_id(aRecord.mId.mValue);
  delta.set_incarnation(aRecord.mIncarnation.mValue);
  delta.set_epoch(aRecord.mEpoch);
  delta.set_from(aRemovals < aRecord.mFloor ? 0 : aFrom);
  delta.set_to(aRecord.mCopied);
  delta.set_newest(aRecord.mCopied);
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
  const bool refused = aDelta.group() != aState.mGroup ||
                       !DecodeEndpoint(aDelta.address(), aDelta.port()) || id.mValue == 0 ||
                       aDelta.state() == lw::membership::INSTANCE_STATE_UNSPECIFIED ||
                       aDelta.from() > aDelta.to() || aDelta.to() > aDelta.newest();
  if (refused) {
    return DeltaOutcome::Rejected;
  }
  Record* record = FindRecord(aState, id);
  if (id == aState.mSelf) {
    if (record->mIncarnation.mValue != aDelta.incarnation() && aDelta.epoch() >= record->mEpoch) {
      OutbidOwnEpoch(aState, aDelta.epoch());
    }
    return DeltaOutcome::Known;
  }
  if (record == nullptr || IsNewerRun(aDelta, *record)) {
    record = &AddRecord(aState, aDelta, aNow);
  } else if (!IsSameRun(aDelta, *record)) {
    return DeltaOutcome::Known;
  }
  ApplyHeader(aState, *record, aDelta, aNow);
  // A sender that had to replace the whole copy starts from 0, possibly below what is copied here.
  const bool replaces = aDelta.from() == 0 && aDelta.newest() > record->mCopied;
  if (aDelta.to() <= record->mCopied && !replaces) {
    return DeltaOutcome::Known;
  }
  if (aDelta.from() > record->mCopied) {
    return DeltaOutcome::Gap;
  }
  if (!ApplyClaims(aState, *record, aDelta, aNow)) {
    return DeltaOutcome::Rejected;
  }
  MarkHot(aState, *record, aDelta.from());
  record->mCopied = aDelta.to();
  if (replaces) {
    record->mRemovals = record->mFloor = aDelta.newest();
  }
  record->mRemovals = std::max(record->mRemovals, record->mCopied);
  return aDelta.to() < aDelta.newest() ? DeltaOutcome::Gap : DeltaOutcome::Applied;
}

} // namespace Membership

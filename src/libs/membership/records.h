#pragma once

#include "membership/state.h"

namespace Membership {

/// Tag of the version of a record's copy. Consecutive counters of one run have different tags, so
/// equal tags mean equal copies unless one is behind by a multiple of 256 changes.
uint8_t
VersionTag(const Record& aRecord);

/// \return true if the member takes part in the protocol: neither dead nor left.
bool
IsInRing(const Record& aRecord);

/// \return members in the ring, the own instance included, by id.
std::vector<Base::InstanceId>
Ring(const State& aState);

Record&
OwnRecord(State& aState);

const Record*
FindRecord(const State& aState, Base::InstanceId aId);

Record*
FindRecord(State& aState, Base::InstanceId aId);

/// \return how often one instance passes on a change: enough to reach all with some loss, while the
/// cost for each instance grows with the logarithm of the members only.
uint32_t
SpreadSends(const State& aState);

/// Advances the counter of the own record and marks the change for dissemination.
/// \return the new counter.
uint32_t
AdvanceOwnCounter(State& aState);

/// Moves the own record past another run of the same instance id or past a rumor about it.
void
OutbidOwnEpoch(State& aState, uint32_t aEpoch);

/// Makes the part of a record that is newer than aFrom, or the whole record if removals of claims
/// after aRemovals are forgotten here.
/// \param aMaxBytes limits the size; claims that do not fit are left for a later delta.
lw::membership::RecordDelta
MakeDelta(const State& aState,
          const Record& aRecord,
          uint32_t aFrom,
          uint32_t aRemovals,
          Base::TimePoint aNow,
          size_t aMaxBytes);

enum class DeltaOutcome
{
  /// Malformed, or of another region.
  Rejected,
  /// Nothing new.
  Known,
  Applied,
  /// Changes before the delta are missing; they must be pulled.
  Gap
};

/// Merges a delta into the copy of a record. Adds the record if it is unknown; a newer run of the
/// same id replaces the record and its claims become orphans.
DeltaOutcome
ApplyDelta(State& aState, const lw::membership::RecordDelta& aDelta, Base::TimePoint aNow);

} // namespace Membership

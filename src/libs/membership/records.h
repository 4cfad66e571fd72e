#pragma once

#include "membership/state.h"

namespace Membership {

/// \return the tag of the copied version of a record. Consecutive counters of one run have
/// different tags, so equal tags mean equal copies unless one lags by a multiple of 256 changes.
uint8_t
VersionTag(const Record& aRecord);

/// \return true if the member is neither dead nor has left.
bool
IsActiveMember(const Record& aRecord);

/// \return the active members including this instance, ordered by id.
std::vector<Base::InstanceId>
ActiveMembers(const State& aState);

Record&
OwnRecord(State& aState);

const Record*
FindRecord(const State& aState, Base::InstanceId aId);

Record*
FindRecord(State& aState, Base::InstanceId aId);

/// \return how often one instance retransmits a change. Suffices to reach all members despite some
/// loss, while the cost per instance grows only with the logarithm of the number of members.
uint32_t
RetransmitLimit(const State& aState);

/// Advances the counter of the own record and marks the change for dissemination.
/// \return the new counter.
uint32_t
AdvanceOwnCounter(State& aState);

/// Raises the epoch of the own record above aEpoch, to override another run of the same instance id
/// or a rumor about it.
void
RaiseOwnEpoch(State& aState, uint32_t aEpoch);

/// \return the part of a record that is newer than aFrom, or the whole record if the removals of
/// claims after aRemovals were already purged.
/// \param aMaxBytes limits the size. Claims that do not fit are left for a later delta.
lw::membership::RecordDelta
MakeDelta(const State& aState,
          const Record& aRecord,
          uint32_t aFrom,
          uint32_t aRemovals,
          Base::TimePoint aNow,
          size_t aMaxBytes);

enum class DeltaOutcome
{
  /// Malformed or from another region.
  Rejected,
  /// Nothing new.
  Known,
  Applied,
  /// Changes before or after the delta are missing and must be pulled.
  Gap
};

/// Merges a delta into the copy of a record. Adds an unknown record. A newer run of the same id
/// replaces the record, and the claims of the earlier run become orphans.
DeltaOutcome
ApplyDelta(State& aState, const lw::membership::RecordDelta& aDelta, Base::TimePoint aNow);

} // namespace Membership

#pragma once

#include "base/ids.h"
#include "base/strongtype.h"
#include "consensus/log.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace Consensus {

/// Random identifier of a data directory, generated when the directory is created. It distinguishes
/// a replacement with an empty disk from the lost replica with the same instance id.
using StorageId = Base::StrongType<struct StorageIdTag, uint64_t>;

/// \return the replica with this storage id, or nullptr.
const lw::consensus::Replica*
FindReplica(const Membership& aMembership, StorageId aStorage);

bool
IsVoter(const Membership& aMembership, StorageId aStorage);

bool
IsRetired(const Membership& aMembership, StorageId aStorage);

/// \return true if the predicate holds for a majority of the voters.
bool
HasQuorum(const Membership& aMembership, const std::function<bool(StorageId)>& aHolds);

/// \return the largest value that a majority of the voters has reached, or 0 if there are no
/// voters.
uint64_t
QuorumValue(const Membership& aMembership, const std::function<uint64_t(StorageId)>& aValue);

/// \return true if the membership has a learner, or an even number of voters that is larger than
/// aMinVoters, so that a voter can leave it without reducing the number of tolerable failures.
bool
CanReleaseVoter(const Membership& aMembership, size_t aMinVoters);

/// State of the leader from which the next membership change is derived.
struct MembershipChangeInput
{
  const Membership& mMembership;
  StorageId mSelf;
  /// Instances listed in the settings.
  const std::vector<Base::InstanceId>& mConfiguredInstances;
  /// Storage ids of the replicas that asked to join, by instance.
  const std::map<Base::InstanceId, StorageId>& mJoining;
  /// Returns true if the learner has synced all committed entries.
  std::function<bool(StorageId)> mHasCaughtUp;
  /// If true, instances that are not listed in the settings may join, and voters may be replaced by
  /// replicas of other instances or removed.
  bool mOpenMembership = false;
  /// Returns true if the replica replies but is about to stop.
  std::function<bool(StorageId)> mIsLeaving = {};
  /// Returns true if the replica seems to have failed, so that a caught-up learner should take its
  /// place.
  std::function<bool(StorageId)> mIsSilent = {};
  /// Returns true if the replica has been silent for so long that it is removed even if no other
  /// one can take its place.
  std::function<bool(StorageId)> mIsUnresponsive = {};
  size_t mMinVoters = 0;
  size_t mMaxVoters = 9;
};

/// Determines the next single-replica membership change. A joining replica is first added as a
/// learner. Once it has caught up, the failed replica that it replaces is removed, and then the
/// learner becomes a voter. Removing the old voter first ensures that the quorums of successive
/// memberships overlap even if the old replica is still running, and that the failure of the
/// learner in between does not cost the quorum. A voter that is about to stop still takes part, so
/// the learner is promoted before it is removed.
///
/// With an open membership, the number of voters is kept odd: an even number tolerates no more
/// failures than one voter fewer but needs a larger quorum. A caught-up learner without a voter to
/// replace stays a learner until a voter stops or fails, or until a second learner has caught up.
/// \return the changed membership, or std::nullopt if no change is due.
std::optional<Membership>
NextMembershipChange(const MembershipChangeInput& aInput);

} // namespace Consensus

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
  /// If true, instances that are not listed in the settings may join, and replicas for which
  /// mIsUnresponsive returns true may be removed.
  bool mOpenMembership = false;
  std::function<bool(StorageId)> mIsUnresponsive = {};
  size_t mMinVoters = 0;
  size_t mMaxVoters = 9;
};

/// Determines the next single-replica membership change. A joining replica is first added as a
/// learner. Once it has caught up, the replica that it replaces is removed, and then the learner
/// becomes a voter. Removing the old voter first ensures that the quorums of successive memberships
/// overlap even if the old replica is still running.
/// \return the changed membership, or std::nullopt if no change is due.
std::optional<Membership>
NextMembershipChange(const MembershipChangeInput& aInput);

} // namespace Consensus

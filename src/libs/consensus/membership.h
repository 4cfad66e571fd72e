#pragma once

#include "base/ids.h"
#include "base/strongtype.h"
#include "consensus/log.h"

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace Consensus {

/// Random number of a data directory, chosen when the directory is created. It tells a replacement
/// with an empty disk from the lost replica of the same instance id.
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

/// \return the largest value that a majority of the voters has reached, 0 without voters.
uint64_t
QuorumValue(const Membership& aMembership, const std::function<uint64_t(StorageId)>& aValue);

/// What the leader knows when it looks for the next membership change.
struct RepairInput
{
  const Membership& mMembership;
  StorageId mSelf;
  /// Instances that are named in the settings.
  const std::vector<Base::InstanceId>& mKnownInstances;
  /// Storage ids that asked to join, by instance.
  const std::map<Base::InstanceId, StorageId>& mJoining;
  /// Says whether the learner has synced all committed entries.
  std::function<bool(StorageId)> mHasCaughtUp;
  /// Instances that are not named may join, and voters that mIsSilent names may be removed.
  bool mOpen = false;
  std::function<bool(StorageId)> mIsSilent = {};
  size_t mMinVoters = 0;
  size_t mMaxVoters = 9;
};

/// Finds the next single step that brings joining replicas into the membership: add as learner;
/// once it has caught up, remove the replica that it replaces; then make it a voter. Removing the
/// old voter first keeps every two successive quorums overlapping even if the old replica still
/// runs. \return the changed membership, or nothing.
std::optional<Membership>
NextRepairStep(const RepairInput& aInput);

} // namespace Consensus

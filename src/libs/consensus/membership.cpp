#include "consensus/membership.h"

#include <algorithm>

namespace Consensus {

namespace {

/// Number of retired storage ids that are remembered, oldest discarded first. At 25 failures a day
/// over all instances, 64 replacements of control instances take many weeks.
constexpr int kMaxRetiredStorages = 64;

void
Remove(Membership& aMembership, int aPosition)
{
  if (aMembership.retired_storages_size() >= kMaxRetiredStorages) {
    aMembership.mutable_retired_storages()->erase(aMembership.retired_storages().begin());
  }
  aMembership.add_retired_storages(aMembership.replicas(aPosition).storage());
  aMembership.mutable_replicas()->DeleteSubrange(aPosition, 1);
}

/// \return the position of another replica of the same instance, or -1.
int
FindOtherReplica(const Membership& aMembership, uint32_t aInstance, uint64_t aStorage)
{
  for (int i = 0; i < aMembership.replicas_size(); ++i) {
    const lw::consensus::Replica& replica = aMembership.replicas(i);
    if (replica.instance() == aInstance && replica.storage() != aStorage) {
      return i;
    }
  }
  return -1;
}

size_t
VoterCount(const Membership& aMembership)
{
  const auto& replicas = aMembership.replicas();
  return static_cast<size_t>(std::count_if(
    replicas.begin(), replicas.end(), [](const auto& aReplica) { return aReplica.voter(); }));
}

/// \return true if the replica is a learner that has caught up and whose instance has no other
/// replica that must be removed first.
bool
IsPromotable(const MembershipChangeInput& aInput, const lw::consensus::Replica& aReplica)
{
  return !aReplica.voter() && aInput.mHasCaughtUp(StorageId(aReplica.storage())) &&
         FindOtherReplica(aInput.mMembership, aReplica.instance(), aReplica.storage()) < 0;
}

size_t
PromotableCount(const MembershipChangeInput& aInput)
{
  const auto& replicas = aInput.mMembership.replicas();
  return static_cast<size_t>(
    std::count_if(replicas.begin(), replicas.end(), [&](const auto& aReplica) {
      return IsPromotable(aInput, aReplica);
    }));
}

/// \return true if the membership tolerates as many failures with one voter fewer.
bool
HasSpareVoter(const Membership& aMembership, size_t aMinVoters)
{
  const size_t voters = VoterCount(aMembership);
  return voters % 2 == 0 && voters > aMinVoters;
}

/// Removes a voter that seems to have failed if a caught-up learner can take its place at once, and
/// one that failed or is about to stop if the quorum is smaller without it. A voter that does not
/// return counts toward the quorum until it is removed, so the next failure could cost the quorum
/// for good.
std::optional<Membership>
RemoveReplaceable(const MembershipChangeInput& aInput)
{
  const bool spare = HasSpareVoter(aInput.mMembership, aInput.mMinVoters);
  // With an even number of voters, the learner is promoted before another voter is removed.
  const bool replacementReady =
    VoterCount(aInput.mMembership) % 2 != 0 && PromotableCount(aInput) > 0;
  if (!aInput.mOpenMembership || (!spare && !replacementReady)) {
    return std::nullopt;
  }
  for (int i = 0; i < aInput.mMembership.replicas_size(); ++i) {
    const lw::consensus::Replica& replica = aInput.mMembership.replicas(i);
    const StorageId storage(replica.storage());
    const bool removable = aInput.mIsSilent(storage) || (spare && aInput.mIsLeaving(storage));
    if (replica.voter() && storage != aInput.mSelf && removable) {
      Membership changed = aInput.mMembership;
      Remove(changed, i);
      return changed;
    }
  }
  return std::nullopt;
}

/// Removes a replica that has been silent for a long time. Its instance may never return, and as
/// long as it counts toward the quorum, the membership tolerates fewer further failures.
std::optional<Membership>
RemoveUnresponsive(const MembershipChangeInput& aInput)
{
  if (!aInput.mOpenMembership) {
    return std::nullopt;
  }
  const bool spare = VoterCount(aInput.mMembership) > aInput.mMinVoters;
  for (int i = 0; i < aInput.mMembership.replicas_size(); ++i) {
    const lw::consensus::Replica& replica = aInput.mMembership.replicas(i);
    const StorageId storage(replica.storage());
    if (storage != aInput.mSelf && (spare || !replica.voter()) && aInput.mIsUnresponsive(storage)) {
      Membership changed = aInput.mMembership;
      Remove(changed, i);
      return changed;
    }
  }
  return std::nullopt;
}

bool
HasLeavingVoter(const MembershipChangeInput& aInput)
{
  const auto& replicas = aInput.mMembership.replicas();
  return std::any_of(replicas.begin(), replicas.end(), [&](const auto& aReplica) {
    return aReplica.voter() && aInput.mIsLeaving(StorageId(aReplica.storage()));
  });
}

/// \return true if a learner whose instance has no other replica should become a voter.
bool
IsVoterNeeded(const MembershipChangeInput& aInput)
{
  if (!aInput.mOpenMembership) {
    return true;
  }
  const size_t voters = VoterCount(aInput.mMembership);
  const bool one = voters % 2 == 0 || HasLeavingVoter(aInput);
  const size_t added = one ? 1 : 2;
  return voters + added <= aInput.mMaxVoters && PromotableCount(aInput) >= added;
}

/// Removes the replica that a caught-up learner replaces or, if there is none, promotes the learner
/// to a voter if another voter is needed.
std::optional<Membership>
AdvanceLearner(const MembershipChangeInput& aInput, int aPosition)
{
  const lw::consensus::Replica& learner = aInput.mMembership.replicas(aPosition);
  if (!aInput.mHasCaughtUp(StorageId(learner.storage()))) {
    return std::nullopt;
  }
  Membership changed = aInput.mMembership;
  const int replaced = FindOtherReplica(changed, learner.instance(), learner.storage());
  if (replaced < 0) {
    if (!IsVoterNeeded(aInput)) {
      return std::nullopt;
    }
    changed.mutable_replicas(aPosition)->set_voter(true);
    return changed;
  }
  if (changed.replicas(replaced).storage() == aInput.mSelf.mValue) {
    return std::nullopt;
  }
  Remove(changed, replaced);
  return changed;
}

std::optional<Membership>
AddLearner(const MembershipChangeInput& aInput, Base::InstanceId aInstance, StorageId aStorage)
{
  const bool known =
    aInput.mOpenMembership ||
    std::find(aInput.mConfiguredInstances.begin(), aInput.mConfiguredInstances.end(), aInstance) !=
      aInput.mConfiguredInstances.end();
  if (!known || FindReplica(aInput.mMembership, aStorage) != nullptr ||
      IsRetired(aInput.mMembership, aStorage)) {
    return std::nullopt;
  }
  Membership changed = aInput.mMembership;
  for (int i = 0; i < changed.replicas_size(); ++i) {
    const lw::consensus::Replica& replica = changed.replicas(i);
    if (replica.instance() == aInstance.mValue && !replica.voter()) {
      Remove(changed, i); // Learner that failed before it caught up.
      return changed;
    }
    if (replica.storage() == aInput.mSelf.mValue && replica.instance() == aInstance.mValue) {
      return std::nullopt; // Another process uses the leader's instance id.
    }
  }
  lw::consensus::Replica* added = changed.add_replicas();
  added->set_instance(aInstance.mValue);
  added->set_storage(aStorage.mValue);
  return changed;
}

} // namespace

const lw::consensus::Replica*
FindReplica(const Membership& aMembership, StorageId aStorage)
{
  for (const lw::consensus::Replica& replica : aMembership.replicas()) {
    if (replica.storage() == aStorage.mValue) {
      return &replica;
    }
  }
  return nullptr;
}

bool
IsVoter(const Membership& aMembership, StorageId aStorage)
{
  const lw::consensus::Replica* replica = FindReplica(aMembership, aStorage);
  return replica != nullptr && replica->voter();
}

bool
IsRetired(const Membership& aMembership, StorageId aStorage)
{
  const auto& retired = aMembership.retired_storages();
  return std::find(retired.begin(), retired.end(), aStorage.mValue) != retired.end();
}

bool
CanReleaseVoter(const Membership& aMembership, size_t aMinVoters)
{
  const auto& replicas = aMembership.replicas();
  return HasSpareVoter(aMembership, aMinVoters) ||
         std::any_of(replicas.begin(), replicas.end(), [](const auto& aReplica) {
           return !aReplica.voter();
         });
}

bool
HasQuorum(const Membership& aMembership, const std::function<bool(StorageId)>& aHolds)
{
  return QuorumValue(aMembership, [&](StorageId aStorage) { return aHolds(aStorage) ? 1 : 0; }) > 0;
}

uint64_t
QuorumValue(const Membership& aMembership, const std::function<uint64_t(StorageId)>& aValue)
{
  std::vector<uint64_t> values;
  for (const lw::consensus::Replica& replica : aMembership.replicas()) {
    if (replica.voter()) {
      values.push_back(aValue(StorageId(replica.storage())));
    }
  }
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end(), std::greater<>());
  return values[values.size() / 2];
}

std::optional<Membership>
NextMembershipChange(const MembershipChangeInput& aInput)
{
  if (std::optional<Membership> changed = RemoveReplaceable(aInput)) {
    return changed;
  }
  for (int i = 0; i < aInput.mMembership.replicas_size(); ++i) {
    if (aInput.mMembership.replicas(i).voter()) {
      continue;
    }
    std::optional<Membership> changed = AdvanceLearner(aInput, i);
    if (changed.has_value()) {
      return changed;
    }
  }
  for (const auto& [instance, storage] : aInput.mJoining) {
    std::optional<Membership> changed = AddLearner(aInput, instance, storage);
    if (changed.has_value()) {
      return changed;
    }
  }
  return RemoveUnresponsive(aInput);
}

} // namespace Consensus

#include "consensus/membership.h"

#include <algorithm>

namespace Consensus {

namespace {

/// A storage id is forgotten after this many later replacements; at 25 failures a day over all
/// instances that is many weeks for the few control instances.
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

/// \return position of another replica of the same instance, or -1.
int
FindOther(const Membership& aMembership, uint32_t aInstance, uint64_t aStorage)
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

/// Removes a replica that is gone: its instance may never come back, and while it counts the
/// membership bears fewer further losses.
std::optional<Membership>
RemoveSilent(const RepairInput& aInput)
{
  if (!aInput.mOpen) {
    return std::nullopt;
  }
  const bool spare = VoterCount(aInput.mMembership) > aInput.mMinVoters;
  for (int i = 0; i < aInput.mMembership.replicas_size(); ++i) {
    const lw::consensus::Replica& replica = aInput.mMembership.replicas(i);
    const StorageId storage(replica.storage());
    if (storage != aInput.mSelf && (spare || !replica.voter()) && aInput.mIsSilent(storage)) {
      Membership changed = aInput.mMembership;
      Remove(changed, i);
      return changed;
    }
  }
  return std::nullopt;
}

/// Moves a learner one step on: removes the voter that it replaces, or makes it a voter.
std::optional<Membership>
AdvanceLearner(const RepairInput& aInput, int aPosition)
{
  const lw::consensus::Replica& learner = aInput.mMembership.replicas(aPosition);
  if (!aInput.mHasCaughtUp(StorageId(learner.storage()))) {
    return std::nullopt;
  }
  Membership changed = aInput.mMembership;
  const int replaced = FindOther(changed, learner.instance(), learner.storage());
  if (replaced < 0) {
    if (aInput.mOpen && VoterCount(changed) >= aInput.mMaxVoters) {
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
AddLearner(const RepairInput& aInput, Base::InstanceId aInstance, StorageId aStorage)
{
  const bool known = aInput.mOpen || std::find(aInput.mKnownInstances.begin(),
                                               aInput.mKnownInstances.end(),
                                               aInstance) != aInput.mKnownInstances.end();
  if (!known || FindReplica(aInput.mMembership, aStorage) != nullptr ||
      IsRetired(aInput.mMembership, aStorage)) {
    return std::nullopt;
  }
  Membership changed = aInput.mMembership;
  for (int i = 0; i < changed.replicas_size(); ++i) {
    const lw::consensus::Replica& replica = changed.replicas(i);
    if (replica.instance() == aInstance.mValue && !replica.voter()) {
      Remove(changed, i); // A learner that was lost before it caught up.
      return changed;
    }
    if (replica.storage() == aInput.mSelf.mValue && replica.instance() == aInstance.mValue) {
      return std::nullopt; // Another process runs under the leader's own id.
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
NextRepairStep(const RepairInput& aInput)
{
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
  return RemoveSilent(aInput);
}

} // namespace Consensus

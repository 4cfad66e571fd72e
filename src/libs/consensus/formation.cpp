#include "consensus/formation.h"

#include "consensus/replication.h"
#include "consensus/roles.h"

#include <algorithm>

namespace Consensus::Internal {

namespace {

constexpr int kHelloIntervalInHeartbeats = 5;

bool
IsFormed(const Node& aNode)
{
  return !aNode.mMemberships.empty();
}

/// \return true if this instance has the lowest id and so sets the first membership.
bool
SetsFirstMembership(const Settings& aSettings)
{
  return std::all_of(aSettings.mInstances.begin(),
                     aSettings.mInstances.end(),
                     [&](Base::InstanceId aInstance) { return aSettings.mSelf <= aInstance; });
}

/// Sets the first membership if every instance of the settings is known to be unformed. An instance
/// that was replaced finds formed ones, so that it can only join.
void
FormIfAllUnformed(Node& aNode, const Context& aContext, Output& aOutput)
{
  const Settings& settings = aContext.mSettings;
  if (IsFormed(aNode) || !settings.mMayForm || !SetsFirstMembership(settings)) {
    return;
  }
  Entry entry;
  entry.set_kind(lw::consensus::MEMBERSHIP);
  for (const Base::InstanceId instance : settings.mInstances) {
    const bool self = instance == settings.mSelf;
    const auto found = aNode.mUnformedPeers.find(instance);
    if (!self && found == aNode.mUnformedPeers.end()) {
      return;
    }
    lw::consensus::Replica* replica = entry.mutable_membership()->add_replicas();
    replica->set_instance(instance.mValue);
    replica->set_storage(self ? OwnStorage(aNode).mValue : found->second.mValue);
    replica->set_voter(true);
  }
  // Two formations, the first one lost with its disk before any other instance confirmed it, must
  // not give the same term and index to different entries.
  constexpr uint64_t kFormationTerms = 1024;
  const Term term = aNode.mHardState.mTerm + 1 + Base::NextBelow(aContext.mRandom, kFormationTerms);
  BecomeFollower(aNode, aContext, term, aOutput);
  AppendOwn(aNode, std::move(entry), aOutput);
}

} // namespace

void
SendDueHello(Node& aNode, const Context& aContext, Output& aOutput)
{
  const bool member = FindReplica(CurrentMembership(aNode), OwnStorage(aNode)) != nullptr;
  if (member || aContext.mNow < aNode.mNextHello) {
    return;
  }
  aNode.mNextHello =
    aContext.mNow + aContext.mSettings.mHeartbeatInterval * kHelloIntervalInHeartbeats;
  for (const Base::InstanceId instance : aContext.mSettings.mInstances) {
    if (instance != aContext.mSettings.mSelf) {
      Message message = MakeMessage(aNode, aContext, instance, StorageId());
      message.mutable_hello()->set_formed(IsFormed(aNode));
      aOutput.mMessages.push_back(std::move(message));
    }
  }
  FormIfAllUnformed(aNode, aContext, aOutput);
}

void
TellRetired(Node& aNode, const Context& aContext, const Message& aMessage, Output& aOutput)
{
  // A removal that is not committed may still be undone.
  if (aMessage.has_hello_reply() || aNode.mMemberships.back().mIndex > aNode.mCommit) {
    return;
  }
  Message message = MakeReply(aNode, aContext, aMessage);
  message.mutable_hello_reply()->set_formed(true);
  message.mutable_hello_reply()->set_retired(true);
  aOutput.mMessages.push_back(std::move(message));
}

void
HandleHello(Node& aNode, const Context& aContext, const Message& aMessage, Output& aOutput)
{
  Message message = MakeReply(aNode, aContext, aMessage);
  message.mutable_hello_reply()->set_formed(IsFormed(aNode));
  aOutput.mMessages.push_back(std::move(message));
  const StorageId storage(aMessage.from_storage());
  if (aNode.mRole == Role::Leader && FindReplica(CurrentMembership(aNode), storage) == nullptr) {
    aNode.mJoining[Base::InstanceId(aMessage.from())] = storage;
  }
}

void
HandleHelloReply(Node& aNode, const Context& aContext, const Message& aMessage, Output& aOutput)
{
  const Base::InstanceId instance(aMessage.from());
  if (aMessage.hello_reply().formed()) {
    aNode.mUnformedPeers.erase(instance);
    return;
  }
  aNode.mUnformedPeers[instance] = StorageId(aMessage.from_storage());
  FormIfAllUnformed(aNode, aContext, aOutput);
}

void
RepairMembership(Node& aNode, const Context& aContext, Output& aOutput)
{
  const bool changing =
    aNode.mMemberships.back().mIndex > aNode.mCommit || aNode.mCommit < aNode.mTermStartIndex;
  if (changing) {
    return;
  }
  const auto hasCaughtUp = [&](StorageId aStorage) {
    const auto found = aNode.mProgress.find(aStorage);
    return found != aNode.mProgress.end() && found->second.mSynced >= aNode.mCommit &&
           aContext.mNow - found->second.mLastReply < aContext.mSettings.mElectionTimeout;
  };
  const auto isSilent = [&](StorageId aStorage) {
    const auto found = aNode.mProgress.find(aStorage);
    return found != aNode.mProgress.end() &&
           aContext.mNow - found->second.mLastReply >= aContext.mSettings.mRemovalAge;
  };
  const std::optional<Membership> changed = NextRepairStep({ CurrentMembership(aNode),
                                                             OwnStorage(aNode),
                                                             aContext.mSettings.mInstances,
                                                             aNode.mJoining,
                                                             hasCaughtUp,
                                                             aContext.mSettings.mOpenMembership,
                                                             isSilent,
                                                             aContext.mSettings.mMinVoters,
                                                             aContext.mSettings.mMaxVoters });
  if (!changed.has_value()) {
    return;
  }
  Entry entry;
  entry.set_kind(lw::consensus::MEMBERSHIP);
  *entry.mutable_membership() = *changed;
  AppendOwn(aNode, std::move(entry), aOutput);
  SendToAll(aNode, aContext, aOutput);
}

} // namespace Consensus::Internal

#include "consensus/formation.h"

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

/// \return true if this instance has the lowest id of all instances and thus creates the first
/// membership.
bool
HasLowestInstanceId(const Settings& aSettings)
{
  return std::all_of(aSettings.mInstances.begin(),
                     aSettings.mInstances.end(),
                     [&](Base::InstanceId aInstance) { return aSettings.mSelf <= aInstance; });
}

/// Creates the first membership if all instances of the settings have reported that they know of
/// none. The replacement of a lost instance finds an existing membership and can only join it.
void
FormClusterIfAllUnformed(Node& aNode, const Context& aContext, Output& aOutput)
{
  const Settings& settings = aContext.mSettings;
  if (IsFormed(aNode) || !settings.mCanFormCluster || !HasLowestInstanceId(settings)) {
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
    replica->set_storage(self ? OwnStorageId(aNode).mValue : found->second.mValue);
    replica->set_voter(true);
  }
  // A random term, because the first membership may be created twice if the disk of this instance
  // is lost before another instance has confirmed the entry. The two entries must not share both
  // term and index.
  constexpr uint64_t kFormationTerms = 1024;
  const Term term = aNode.mHardState.mTerm + 1 + Base::NextBelow(aContext.mRandom, kFormationTerms);
  BecomeFollower(aNode, aContext, term, aOutput);
  AppendInCurrentTerm(aNode, std::move(entry), aOutput);
}

void
SendHello(const Node& aNode, const Context& aContext, Base::InstanceId aInstance, Output& aOutput)
{
  if (aInstance == aContext.mSettings.mSelf) {
    return;
  }
  Message message = MakeMessage(aNode, aContext, aInstance, StorageId());
  message.mutable_hello()->set_formed(IsFormed(aNode));
  aOutput.mMessages.push_back(std::move(message));
}

/// Asks the other members whether this replica has been removed. The leader sends nothing more to a
/// replica that it has removed.
void
SendHelloToMembers(const Node& aNode, const Context& aContext, Output& aOutput)
{
  for (const lw::consensus::Replica& replica : CurrentMembership(aNode).replicas()) {
    SendHello(aNode, aContext, Base::InstanceId(replica.instance()), aOutput);
  }
}

/// Sends a hello to the leader that a peer has named, unless it is one of the configured instances,
/// which get one anyway. Otherwise a replacement could not join while the leader is another one.
void
SendHelloToLeader(const Node& aNode,
                  const Context& aContext,
                  Base::InstanceId aLeader,
                  Output& aOutput)
{
  const auto& configured = aContext.mSettings.mInstances;
  const bool member = FindReplica(CurrentMembership(aNode), OwnStorageId(aNode)) != nullptr;
  const bool greeted = std::find(configured.begin(), configured.end(), aLeader) != configured.end();
  if (!member && !greeted && aLeader != Base::InstanceId()) {
    SendHello(aNode, aContext, aLeader, aOutput);
  }
}

} // namespace

void
SendDueHello(Node& aNode, const Context& aContext, Output& aOutput)
{
  const bool member = FindReplica(CurrentMembership(aNode), OwnStorageId(aNode)) != nullptr;
  if ((member && !aNode.mLeaving) || aContext.mNow < aNode.mNextHello) {
    return;
  }
  aNode.mNextHello =
    aContext.mNow + aContext.mSettings.mHeartbeatInterval * kHelloIntervalInHeartbeats;
  if (member) {
    SendHelloToMembers(aNode, aContext, aOutput);
    return;
  }
  for (const Base::InstanceId instance : aContext.mSettings.mInstances) {
    SendHello(aNode, aContext, instance, aOutput);
  }
  FormClusterIfAllUnformed(aNode, aContext, aOutput);
}

void
SendRetiredNotice(Node& aNode, const Context& aContext, const Message& aMessage, Output& aOutput)
{
  // A removal that is not committed may still be rolled back.
  if (aMessage.has_hello_reply() || aNode.mMemberships.back().mIndex > aNode.mCommitIndex) {
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
  if (aNode.mRole != Role::Leader && IsConnected(aNode, aContext)) {
    message.mutable_hello_reply()->set_leader(aNode.mLeader.mValue);
  }
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
    SendHelloToLeader(aNode, aContext, Base::InstanceId(aMessage.hello_reply().leader()), aOutput);
    return;
  }
  aNode.mUnformedPeers[instance] = StorageId(aMessage.from_storage());
  FormClusterIfAllUnformed(aNode, aContext, aOutput);
}

} // namespace Consensus::Internal

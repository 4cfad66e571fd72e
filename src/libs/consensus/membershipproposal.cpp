#include "consensus/membershipproposal.h"

#include "consensus/replication.h"
#include "consensus/roles.h"

namespace Consensus::Internal {

namespace {

/// \return the progress of a replica, or nullptr if the leader has not sent it anything yet.
const Progress*
FindProgress(const Node& aNode, StorageId aStorage)
{
  const auto found = aNode.mProgress.find(aStorage);
  return found == aNode.mProgress.end() ? nullptr : &found->second;
}

bool
IsSilentFor(const Node& aNode, const Context& aContext, StorageId aStorage, Base::Duration aTimeout)
{
  const Progress* progress = FindProgress(aNode, aStorage);
  return progress != nullptr && aContext.mNow - progress->mLastReply >= aTimeout;
}

bool
HasCaughtUp(const Node& aNode, const Context& aContext, StorageId aStorage)
{
  const Progress* progress = FindProgress(aNode, aStorage);
  return progress != nullptr && progress->mSyncedIndex >= aNode.mCommitIndex &&
         !IsSilentFor(aNode, aContext, aStorage, aContext.mSettings.mElectionTimeout);
}

bool
IsLeaving(const Node& aNode, const Context& aContext, StorageId aStorage)
{
  const Progress* progress = FindProgress(aNode, aStorage);
  return progress != nullptr && progress->mLeaving &&
         !IsSilentFor(aNode, aContext, aStorage, aContext.mSettings.mElectionTimeout);
}

/// \return true if a change of the membership or the first entry of the term is not committed yet.
bool
IsChangeInProgress(const Node& aNode)
{
  return aNode.mMemberships.back().mIndex > aNode.mCommitIndex ||
         aNode.mCommitIndex < aNode.mTermStartIndex;
}

MembershipChangeInput
MakeInput(const Node& aNode, const Context& aContext)
{
  const Settings& settings = aContext.mSettings;
  MembershipChangeInput input{ CurrentMembership(aNode),
                               OwnStorageId(aNode),
                               settings.mInstances,
                               aNode.mJoining,
                               [&aNode, aContext](StorageId aStorage) {
                                 return HasCaughtUp(aNode, aContext, aStorage);
                               } };
  input.mOpenMembership = settings.mOpenMembership;
  input.mIsLeaving = [&aNode, aContext](StorageId aStorage) {
    return IsLeaving(aNode, aContext, aStorage);
  };
  input.mIsSilent = [&aNode, aContext](StorageId aStorage) {
    return IsSilentFor(aNode, aContext, aStorage, aContext.mSettings.mElectionTimeout);
  };
  input.mIsUnresponsive = [&aNode, aContext](StorageId aStorage) {
    return IsSilentFor(aNode, aContext, aStorage, aContext.mSettings.mVoterRemovalTimeout);
  };
  input.mMinVoters = settings.mMinVoters;
  input.mMaxVoters = settings.mMaxVoters;
  return input;
}

} // namespace

void
ProposeMembershipChange(Node& aNode, const Context& aContext, Output& aOutput)
{
  if (IsChangeInProgress(aNode)) {
    return;
  }
  const std::optional<Membership> changed = NextMembershipChange(MakeInput(aNode, aContext));
  if (!changed.has_value()) {
    return;
  }
  Entry entry;
  entry.set_kind(lw::consensus::MEMBERSHIP);
  *entry.mutable_membership() = *changed;
  AppendInCurrentTerm(aNode, std::move(entry), aOutput);
  SendToAll(aNode, aContext, aOutput);
}

} // namespace Consensus::Internal

#include "consensus/roles.h"

#include "consensus/replication.h"

#include <algorithm>
#include <utility>

namespace Consensus::Internal {

StorageId
OwnStorage(const Node& aNode)
{
  return aNode.mHardState.mStorage;
}

Message
MakeMessage(const Node& aNode, const Context& aContext, Base::InstanceId aTo, StorageId aToStorage)
{
  Message message;
  message.set_from(aContext.mSettings.mSelf.mValue);
  message.set_from_storage(OwnStorage(aNode).mValue);
  message.set_to(aTo.mValue);
  message.set_to_storage(aToStorage.mValue);
  message.set_term(aNode.mHardState.mTerm);
  return message;
}

Message
MakeReply(const Node& aNode, const Context& aContext, const Message& aRequest)
{
  return MakeMessage(
    aNode, aContext, Base::InstanceId(aRequest.from()), StorageId(aRequest.from_storage()));
}

namespace {

void
SetDeadline(Node& aNode, const Context& aContext, Base::Duration aInterval)
{
  const auto spread = static_cast<uint64_t>(aInterval.count());
  const auto extra = static_cast<int64_t>(Base::NextBelow(aContext.mRandom, spread + 1));
  aNode.mElectionDeadline = aContext.mNow + aInterval + Base::Duration(extra);
}

} // namespace

void
ResetElectionDeadline(Node& aNode, const Context& aContext)
{
  SetDeadline(aNode, aContext, aContext.mSettings.mElectionTimeout);
}

void
SetPreVoteDeadline(Node& aNode, const Context& aContext)
{
  SetDeadline(aNode, aContext, aContext.mSettings.mPreVoteInterval);
}

void
ForgetLeader(Node& aNode)
{
  aNode.mLeader = Base::InstanceId();
  aNode.mLeaderStorage = StorageId();
  aNode.mLeaderRound = 0;
  aNode.mLeaderCommit = 0;
  // Committed entries are the same at every leader.
  aNode.mVerified = aNode.mCommit;
}

void
BecomeFollower(Node& aNode, const Context& aContext, Term aTerm, Output& aOutput)
{
  if (aTerm > aNode.mHardState.mTerm) {
    aNode.mHardState.mTerm = aTerm;
    aNode.mHardState.mVotedFor = StorageId();
    aOutput.mHardState = aNode.mHardState;
    ForgetLeader(aNode);
  }
  if (aNode.mRole == Role::Leader) {
    for (const PendingRead& read : aNode.mReads) {
      aOutput.mFailedReads.push_back(read.mId);
    }
    aNode.mReads.clear();
    aNode.mProgress.clear();
    aNode.mJoining.clear();
  }
  aNode.mRole = Role::Follower;
  aNode.mLeader = Base::InstanceId();
  aNode.mVotes.clear();
  ResetElectionDeadline(aNode, aContext);
}

void
BecomeLeader(Node& aNode, const Context& aContext, Output& aOutput)
{
  aNode.mRole = Role::Leader;
  aNode.mLeader = aContext.mSettings.mSelf;
  aNode.mProgress.clear();
  aNode.mJoining.clear();
  aNode.mRound = 0;
  Entry entry;
  entry.set_kind(lw::consensus::TERM_START);
  aNode.mTermStartIndex = AppendOwn(aNode, std::move(entry), aOutput);
  SendToAll(aNode, aContext, aOutput);
}

LogIndex
AppendOwn(Node& aNode, Entry aEntry, Output& aOutput)
{
  aEntry.set_term(aNode.mHardState.mTerm);
  aEntry.set_index(LastIndex(aNode.mLog) + 1);
  AppendToLog(aNode, aEntry, aOutput);
  return aEntry.index();
}

void
AppendToLog(Node& aNode, const Entry& aEntry, Output& aOutput)
{
  aNode.mLog.mEntries.push_back(aEntry);
  if (aEntry.kind() == lw::consensus::MEMBERSHIP) {
    aNode.mMemberships.push_back({ aEntry.index(), aEntry.membership() });
  }
  aOutput.mAppend.push_back(aEntry);
}

void
RemoveEntriesFrom(Node& aNode, LogIndex aIndex)
{
  RemoveFrom(aNode.mLog, aIndex);
  aNode.mSynced = std::min(aNode.mSynced, aIndex - 1);
  while (!aNode.mMemberships.empty() && aNode.mMemberships.back().mIndex >= aIndex) {
    aNode.mMemberships.pop_back();
  }
}

void
AdvanceApplied(Node& aNode, Output& aOutput)
{
  while (aNode.mApplied < aNode.mCommit) {
    ++aNode.mApplied;
    aOutput.mApply.push_back(EntryAt(aNode.mLog, aNode.mApplied));
  }
  ConfirmReads(aNode, aOutput);
}

} // namespace Consensus::Internal

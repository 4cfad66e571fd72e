#include "consensus/roles.h"

#include "consensus/replication.h"

#include <algorithm>
#include <utility>

namespace Consensus::Internal {

StorageId
OwnStorageId(const Node& aNode)
{
  return aNode.mHardState.mStorage;
}

Message
MakeMessage(const Node& aNode, const Context& aContext, Base::InstanceId aTo, StorageId aToStorage)
{
  Message message;
  message.set_from(aContext.mSettings.mSelf.mValue);
  message.set_from_storage(OwnStorageId(aNode).mValue);
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
  aNode.mVoteSyncStart.reset();
}

/// A voter that learns of the term before the request for its vote syncs the term and then the
/// vote.
constexpr int kSyncsOfVoter = 2;

/// \param aSync is the time that the sync of the vote took here, and is likely to take at the
/// voters.
void
SetVoteDeadline(Node& aNode, const Context& aContext, Base::Duration aSync)
{
  const Settings& settings = aContext.mSettings;
  Base::Duration interval = settings.mVoteRetryInterval;
  for (uint32_t i = 1; i < aNode.mTermsWithoutCommit && interval < settings.mElectionTimeout; ++i) {
    interval *= 2;
  }
  SetDeadline(
    aNode, aContext, std::min(interval + kSyncsOfVoter * aSync, settings.mElectionTimeout));
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
StartVoteWait(Node& aNode, const Context& aContext)
{
  SetVoteDeadline(aNode, aContext, Base::Duration(0));
  aNode.mVoteSyncStart = aContext.mNow;
}

void
RestartVoteWait(Node& aNode, const Context& aContext)
{
  if (aNode.mVoteSyncStart.has_value()) {
    aNode.mVoteSync = aContext.mNow - *aNode.mVoteSyncStart;
    SetVoteDeadline(aNode, aContext, aNode.mVoteSync);
  }
}

void
ResetLeaderState(Node& aNode)
{
  aNode.mLeader = Base::InstanceId();
  aNode.mLeaderStorage = StorageId();
  aNode.mLeaderHeartbeatRound = 0;
  aNode.mLeaderCommitIndex = 0;
  // Committed entries are identical in the log of every later leader.
  aNode.mMatchedIndex = aNode.mCommitIndex;
}

void
BecomeFollower(Node& aNode, const Context& aContext, Term aTerm, Output& aOutput)
{
  const bool newTerm = aTerm > aNode.mHardState.mTerm;
  if (newTerm) {
    ++aNode.mTermsWithoutCommit;
    aNode.mHardState.mTerm = aTerm;
    aNode.mHardState.mVotedFor = StorageId();
    aOutput.mHardState = aNode.mHardState;
    ResetLeaderState(aNode);
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
  aNode.mPreVotes.clear();
  aNode.mVotes.clear();
  if (newTerm) {
    StartVoteWait(aNode, aContext);
  } else {
    ResetElectionDeadline(aNode, aContext);
  }
}

void
BecomeLeader(Node& aNode, const Context& aContext, Output& aOutput)
{
  aNode.mRole = Role::Leader;
  aNode.mLeader = aContext.mSettings.mSelf;
  aNode.mProgress.clear();
  aNode.mJoining.clear();
  aNode.mHeartbeatRound = 0;
  Entry entry;
  entry.set_kind(lw::consensus::TERM_START);
  aNode.mTermStartIndex = AppendInCurrentTerm(aNode, std::move(entry), aOutput);
  SendToAll(aNode, aContext, aOutput);
}

LogIndex
AppendInCurrentTerm(Node& aNode, Entry aEntry, Output& aOutput)
{
  aEntry.set_term(aNode.mHardState.mTerm);
  aEntry.set_index(LastIndex(aNode.mLog) + 1);
  AppendToLog(aNode, aEntry, aOutput);
  return aEntry.index();
}

void
AppendToLog(Node& aNode, const Entry& aEntry, Output& aOutput)
{
  AppendEntry(aNode.mLog, aEntry);
  if (aEntry.kind() == lw::consensus::MEMBERSHIP) {
    aNode.mMemberships.push_back({ aEntry.index(), aEntry.membership() });
  }
  aOutput.mAppend.push_back(aEntry);
}

void
TruncateLogFrom(Node& aNode, LogIndex aIndex)
{
  TruncateFrom(aNode.mLog, aIndex);
  aNode.mSyncedIndex = std::min(aNode.mSyncedIndex, aIndex - 1);
  while (!aNode.mMemberships.empty() && aNode.mMemberships.back().mIndex >= aIndex) {
    aNode.mMemberships.pop_back();
  }
}

void
AdvanceApplied(Node& aNode, Output& aOutput)
{
  aNode.mTermsWithoutCommit = 0;
  while (aNode.mAppliedIndex < aNode.mCommitIndex) {
    ++aNode.mAppliedIndex;
    aOutput.mApply.push_back(EntryAt(aNode.mLog, aNode.mAppliedIndex));
  }
  ConfirmReads(aNode, aOutput);
}

} // namespace Consensus::Internal

#include "consensus/node.h"

#include "absl/status/status.h"
#include "consensus/election.h"
#include "consensus/formation.h"
#include "consensus/membershipproposal.h"
#include "consensus/replication.h"
#include "consensus/roles.h"
#include "consensus/snapshottransfer.h"

#include <algorithm>
#include <utility>

namespace Consensus {

namespace {

using namespace Internal;

bool
IsAddressedTo(const Message& aMessage, const Node& aNode, const Settings& aSettings)
{
  if (aMessage.to() != aSettings.mSelf.mValue || aMessage.from() == aMessage.to()) {
    return false;
  }
  // The sender of a Hello does not know the storage ids of its peers and sends 0.
  const bool canOmitStorageId = aMessage.has_hello();
  return aMessage.to_storage() == OwnStorageId(aNode).mValue ||
         (canOmitStorageId && aMessage.to_storage() == 0);
}

/// Notifies the leader of an earlier term that a later term exists.
void
RejectStaleLeader(Node& aNode, const Context& aContext, const Message& aMessage, Output& aOutput)
{
  if (aMessage.has_append() || aMessage.has_snapshot_piece()) {
    Message message = MakeReply(aNode, aContext, aMessage);
    message.mutable_append_reply()->set_matched(false);
    aOutput.mMessages.push_back(std::move(message));
  }
}

void
FollowSender(Node& aNode, const Context& aContext, const Message& aMessage, Output& aOutput)
{
  if (aNode.mRole != Role::Follower) {
    BecomeFollower(aNode, aContext, aNode.mHardState.mTerm, aOutput);
  }
  aNode.mLeader = Base::InstanceId(aMessage.from());
  aNode.mLeaderStorage = StorageId(aMessage.from_storage());
  aNode.mLastLeaderContact = aContext.mNow;
  ResetElectionDeadline(aNode, aContext);
}

void
Dispatch(Node& aNode, const Context& aContext, const Message& aMessage, Output& aOutput)
{
  switch (aMessage.body_case()) {
    case Message::kVoteReply:
      HandleVoteReply(aNode, aContext, aMessage, aOutput);
      break;
    case Message::kAppend:
      FollowSender(aNode, aContext, aMessage, aOutput);
      HandleAppend(aNode, aContext, aMessage, aOutput);
      break;
    case Message::kAppendReply:
      HandleAppendReply(aNode, aContext, aMessage, aOutput);
      break;
    case Message::kSnapshotPiece:
      FollowSender(aNode, aContext, aMessage, aOutput);
      HandleSnapshotPiece(aNode, aContext, aMessage, aOutput);
      break;
    case Message::kSnapshotReply:
      HandleSnapshotReply(aNode, aContext, aMessage, aOutput);
      break;
    case Message::kHandOver:
      StartElection(aNode, aContext, true, aOutput);
      break;
    default:
      break;
  }
}

void
RestoreLog(Node& aNode, std::vector<Entry> aEntries)
{
  const Snapshot& snapshot = aNode.mSnapshot;
  aNode.mLog.mBaseIndex = snapshot.index();
  aNode.mLog.mBaseTerm = snapshot.term();
  if (!aEntries.empty() && aEntries.front().index() <= snapshot.index()) {
    aNode.mLog.mBaseIndex = aEntries.front().index();
    aNode.mLog.mBaseTerm = aEntries.front().term();
    aEntries.erase(aEntries.begin());
  }
  for (Entry& entry : aEntries) {
    if (entry.kind() == lw::consensus::MEMBERSHIP && entry.index() > snapshot.index()) {
      aNode.mMemberships.push_back({ entry.index(), entry.membership() });
    }
    AppendEntry(aNode.mLog, std::move(entry));
  }
}

/// \return the membership that applies after the entry with this index.
Membership
MembershipAtIndex(const Node& aNode, LogIndex aIndex)
{
  Membership membership;
  for (const LoggedMembership& logged : aNode.mMemberships) {
    if (logged.mIndex <= aIndex) {
      membership = logged.mMembership;
    }
  }
  return membership;
}

} // namespace

Node
Restore(const Context& aContext, Restored aRestored)
{
  Node node;
  node.mHardState = aRestored.mHardState;
  node.mSnapshot = std::move(aRestored.mSnapshot);
  if (node.mSnapshot.index() > 0) {
    node.mMemberships.push_back({ node.mSnapshot.index(), node.mSnapshot.membership() });
  }
  RestoreLog(node, std::move(aRestored.mEntries));
  node.mSyncedIndex = LastIndex(node.mLog);
  node.mCommitIndex = node.mSnapshot.index();
  node.mAppliedIndex = node.mCommitIndex;
  node.mMatchedIndex = node.mCommitIndex;
  node.mNextHello = aContext.mNow;
  SetPreVoteDeadline(node, aContext);
  return node;
}

Output
Tick(Node& aNode, const Context& aContext)
{
  Output output;
  if (aNode.mFailed) {
    return output;
  }
  RestartVoteWait(aNode, aContext);
  if (aNode.mRole == Role::Leader) {
    if (!HasQuorumContact(aNode, aContext)) {
      BecomeFollower(aNode, aContext, aNode.mHardState.mTerm, output);
      return output;
    }
    SendDueHeartbeats(aNode, aContext, output);
    ProposeMembershipChange(aNode, aContext, output);
    return output;
  }
  if (aContext.mNow >= aNode.mElectionDeadline) {
    StartElection(aNode, aContext, false, output);
  }
  SendDueHello(aNode, aContext, output);
  return output;
}

Output
Receive(Node& aNode, const Context& aContext, const Message& aMessage)
{
  Output output;
  const StorageId sender(aMessage.from_storage());
  if (aNode.mFailed || !IsAddressedTo(aMessage, aNode, aContext.mSettings)) {
    return output;
  }
  RestartVoteWait(aNode, aContext);
  if (IsRetired(CurrentMembership(aNode), sender)) {
    SendRetiredNotice(aNode, aContext, aMessage, output);
    return output;
  }
  if (aMessage.has_hello()) {
    HandleHello(aNode, aContext, aMessage, output);
    return output;
  }
  if (aMessage.has_hello_reply()) {
    HandleHelloReply(aNode, aContext, aMessage, output);
    return output;
  }
  if (aMessage.has_vote_request()) {
    HandleVoteRequest(aNode, aContext, aMessage, output);
    return output;
  }
  // A pre-vote changes no term, so a reply from a replica in an earlier term is valid.
  if (aMessage.has_vote_reply() && aMessage.vote_reply().pre_vote() &&
      aMessage.vote_reply().granted()) {
    HandleVoteReply(aNode, aContext, aMessage, output);
    return output;
  }
  if (aMessage.term() < aNode.mHardState.mTerm) {
    RejectStaleLeader(aNode, aContext, aMessage, output);
    return output;
  }
  if (aMessage.term() > aNode.mHardState.mTerm) {
    BecomeFollower(aNode, aContext, aMessage.term(), output);
  }
  Dispatch(aNode, aContext, aMessage, output);
  return output;
}

Output
EntriesSynced(Node& aNode, const Context& aContext, LogIndex aIndex, Term aTerm)
{
  Output output;
  if (aNode.mFailed || TermAt(aNode.mLog, aIndex) != aTerm) {
    return output; // A later leader has replaced the entry in the meantime.
  }
  aNode.mSyncedIndex = std::max(aNode.mSyncedIndex, aIndex);
  if (aNode.mRole == Role::Leader) {
    AdvanceCommit(aNode, output);
    return output;
  }
  AdvanceFollowerCommit(aNode, output);
  if (aNode.mLeader != Base::InstanceId()) {
    SendAppendReply(aNode, aContext, output);
  }
  return output;
}

Output
SnapshotInstalled(Node& aNode, const Context& aContext, const Snapshot& aSnapshot)
{
  Output output;
  if (aNode.mFailed || aSnapshot.index() <= aNode.mCommitIndex) {
    return output;
  }
  const bool continues = TermAt(aNode.mLog, aSnapshot.index()) == aSnapshot.term();
  if (continues) {
    Compact(aNode.mLog, aSnapshot.index());
  } else {
    aNode.mLog = Log();
    aNode.mLog.mBaseIndex = aSnapshot.index();
    aNode.mLog.mBaseTerm = aSnapshot.term();
    aNode.mMemberships.clear();
  }
  auto& memberships = aNode.mMemberships;
  const auto later = std::find_if(memberships.begin(), memberships.end(), [&](const auto& aLogged) {
    return aLogged.mIndex > aSnapshot.index();
  });
  memberships.erase(memberships.begin(), later);
  memberships.insert(memberships.begin(), { aSnapshot.index(), aSnapshot.membership() });
  aNode.mSnapshot = aSnapshot;
  aNode.mCommitIndex = aSnapshot.index();
  aNode.mAppliedIndex = aSnapshot.index();
  aNode.mSyncedIndex =
    continues ? std::max(aNode.mSyncedIndex, aSnapshot.index()) : aSnapshot.index();
  aNode.mMatchedIndex = std::max(aNode.mMatchedIndex, aSnapshot.index());
  if (aNode.mLeader != Base::InstanceId()) {
    SendAppendReply(aNode, aContext, output);
  }
  return output;
}

Output
StorageFailed(Node& aNode)
{
  Output output;
  for (const PendingRead& read : aNode.mReads) {
    output.mFailedReads.push_back(read.mId);
  }
  aNode.mReads.clear();
  aNode.mProgress.clear();
  aNode.mRole = Role::Follower;
  aNode.mLeader = Base::InstanceId();
  aNode.mFailed = true;
  return output;
}

absl::StatusOr<LogIndex>
Propose(Node& aNode,
        const Context& aContext,
        const std::vector<std::string>& aCommands,
        Output& aOutput)
{
  if (aNode.mFailed || aNode.mRole != Role::Leader) {
    return absl::UnavailableError("this control instance is not the leader");
  }
  const LogIndex first = LastIndex(aNode.mLog) + 1;
  for (const std::string& command : aCommands) {
    Entry entry;
    entry.set_kind(lw::consensus::COMMAND);
    entry.set_command(command);
    AppendInCurrentTerm(aNode, std::move(entry), aOutput);
  }
  SendToAll(aNode, aContext, aOutput);
  return first;
}

Output
RequestRead(Node& aNode, const Context& aContext, uint64_t aReadId)
{
  Output output;
  if (aNode.mFailed || aNode.mRole != Role::Leader) {
    output.mFailedReads.push_back(aReadId);
    return output;
  }
  // Entries of earlier terms are known to be committed only once the first entry of the current
  // term is.
  const LogIndex index = std::max(aNode.mCommitIndex, aNode.mTermStartIndex);
  ++aNode.mHeartbeatRound;
  aNode.mReads.push_back({ aReadId, aNode.mHeartbeatRound, index });
  SendToAll(aNode, aContext, output);
  ConfirmReads(aNode, output);
  return output;
}

bool
IsSnapshotDue(const Node& aNode, const Settings& aSettings)
{
  const LogIndex last = aNode.mSnapshot.index();
  return aNode.mAppliedIndex >= last + aSettings.mSnapshotInterval ||
         BytesBetween(aNode.mLog, last, aNode.mAppliedIndex) >= aSettings.mSnapshotIntervalBytes;
}

Snapshot
MakeSnapshot(const Node& aNode, std::string aState)
{
  Snapshot snapshot;
  snapshot.set_index(aNode.mAppliedIndex);
  snapshot.set_term(TermAt(aNode.mLog, aNode.mAppliedIndex).value_or(0));
  *snapshot.mutable_membership() = MembershipAtIndex(aNode, aNode.mAppliedIndex);
  snapshot.set_state(std::move(aState));
  return snapshot;
}

LogIndex
CompactionIndex(const Node& aNode, const Settings& aSettings, const Snapshot& aSnapshot)
{
  const LogIndex last = aSnapshot.index();
  LogIndex index = last > aSettings.mRetainedEntries ? last - aSettings.mRetainedEntries : 0;
  index = std::max(index, aNode.mLog.mBaseIndex);
  while (index < last && BytesBetween(aNode.mLog, index, last) > aSettings.mRetainedBytes) {
    ++index;
  }
  return index;
}

void
SnapshotStored(Node& aNode, const Settings& aSettings, Snapshot aSnapshot)
{
  const LogIndex compacted = CompactionIndex(aNode, aSettings, aSnapshot);
  auto& memberships = aNode.mMemberships;
  while (memberships.size() > 1 && memberships[1].mIndex <= aSnapshot.index()) {
    memberships.erase(memberships.begin());
  }
  aNode.mSnapshot = std::move(aSnapshot);
  Compact(aNode.mLog, std::max(aNode.mLog.mBaseIndex, compacted));
}

const Membership&
CurrentMembership(const Node& aNode)
{
  static const Membership sNone;
  return aNode.mMemberships.empty() ? sNone : aNode.mMemberships.back().mMembership;
}

bool
IsConnected(const Node& aNode, const Context& aContext)
{
  return aNode.mRole == Role::Leader ||
         (aNode.mLastLeaderContact.has_value() &&
          aContext.mNow - *aNode.mLastLeaderContact < aContext.mSettings.mElectionTimeout);
}

} // namespace Consensus

#include "consensus/replication.h"

#include "consensus/roles.h"
#include "consensus/snapshottransfer.h"

#include <algorithm>

namespace Consensus::Internal {

namespace {

Progress&
FindOrAddProgress(Node& aNode, const Context& aContext, const lw::consensus::Replica& aReplica)
{
  const auto [position, added] = aNode.mProgress.try_emplace(StorageId(aReplica.storage()));
  Progress& progress = position->second;
  if (added) {
    progress.mInstance = Base::InstanceId(aReplica.instance());
    progress.mNextIndex = LastIndex(aNode.mLog) + 1;
    // A new leader allows every replica one election timeout for the first reply.
    progress.mLastReply = aContext.mNow;
  }
  return progress;
}

void
SendAppend(Node& aNode,
           const Context& aContext,
           StorageId aStorage,
           Progress& aProgress,
           Output& aOutput)
{
  aProgress.mLastSent = aContext.mNow;
  const LogIndex previous = aProgress.mNextIndex - 1;
  const std::optional<Term> previousTerm = TermAt(aNode.mLog, previous);
  if (aProgress.mSnapshotIndex != 0 || !previousTerm.has_value()) {
    SendSnapshotPiece(aNode, aContext, aStorage, aProgress, aOutput);
    return;
  }
  const Settings& settings = aContext.mSettings;
  Message message = MakeMessage(aNode, aContext, aProgress.mInstance, aStorage);
  lw::consensus::Append* append = message.mutable_append();
  append->set_previous_index(previous);
  append->set_previous_term(*previousTerm);
  append->set_commit_index(aNode.mCommitIndex);
  append->set_round(aNode.mHeartbeatRound);
  if (aProgress.mNextIndex <= aProgress.mSyncedIndex + settings.mMaxUnconfirmedEntries) {
    for (const Entry& entry : CopyEntries(aNode.mLog,
                                          aProgress.mNextIndex,
                                          settings.mMaxAppendEntries,
                                          settings.mMaxAppendBytes)) {
      *append->add_entries() = entry;
    }
  }
  aProgress.mNextIndex += static_cast<uint64_t>(append->entries_size());
  aOutput.mMessages.push_back(std::move(message));
}

template<typename Due>
void
SendAppendIf(Node& aNode, const Context& aContext, Output& aOutput, const Due& aDue)
{
  for (const lw::consensus::Replica& replica : CurrentMembership(aNode).replicas()) {
    const StorageId storage(replica.storage());
    if (storage == OwnStorageId(aNode)) {
      continue;
    }
    Progress& progress = FindOrAddProgress(aNode, aContext, replica);
    if (aDue(progress)) {
      SendAppend(aNode, aContext, storage, progress, aOutput);
    }
  }
}

/// \return false if the entries are not consecutive or conflict with committed ones. A correct
/// leader sends neither.
bool
AreEntriesValid(const Node& aNode, const lw::consensus::Append& aAppend)
{
  LogIndex expected = aAppend.previous_index() + 1;
  for (const Entry& entry : aAppend.entries()) {
    const std::optional<Term> held = TermAt(aNode.mLog, entry.index());
    const bool conflicts =
      entry.index() <= aNode.mCommitIndex && held.has_value() && *held != entry.term();
    if (entry.index() != expected || conflicts) {
      return false;
    }
    ++expected;
  }
  return true;
}

/// Appends the entries that are not in the log yet, after removing conflicting ones.
void
AppendNewEntries(Node& aNode, const lw::consensus::Append& aAppend, Output& aOutput)
{
  for (const Entry& entry : aAppend.entries()) {
    if (entry.index() <= aNode.mLog.mBaseIndex) {
      continue;
    }
    const std::optional<Term> held = TermAt(aNode.mLog, entry.index());
    if (held.has_value() && *held == entry.term()) {
      continue;
    }
    if (held.has_value()) {
      TruncateLogFrom(aNode, entry.index());
    }
    AppendToLog(aNode, entry, aOutput);
  }
}

void
RejectAppend(Node& aNode, const Context& aContext, const Message& aMessage, Output& aOutput)
{
  Message message = MakeReply(aNode, aContext, aMessage);
  lw::consensus::AppendReply* reply = message.mutable_append_reply();
  reply->set_round(aMessage.append().round());
  // On a conflicting term, the leader continues after the last entry that is committed here, which
  // skips all uncommitted entries in one step.
  const LogIndex previous = aMessage.append().previous_index();
  const LogIndex last = LastIndex(aNode.mLog);
  reply->set_last_index(last < previous ? last : std::min(aNode.mCommitIndex, previous - 1));
  aOutput.mMessages.push_back(std::move(message));
}

} // namespace

void
SendToAll(Node& aNode, const Context& aContext, Output& aOutput)
{
  // Snapshot pieces are sent only on replies and heartbeats. Otherwise every new entry would send
  // the same piece again.
  SendAppendIf(aNode, aContext, aOutput, [](const Progress& aProgress) {
    return aProgress.mSnapshotIndex == 0;
  });
}

void
SendDueHeartbeats(Node& aNode, const Context& aContext, Output& aOutput)
{
  SendAppendIf(aNode, aContext, aOutput, [&](const Progress& aProgress) {
    return aContext.mNow - aProgress.mLastSent >= aContext.mSettings.mHeartbeatInterval;
  });
}

bool
HasQuorumContact(const Node& aNode, const Context& aContext)
{
  return HasQuorum(CurrentMembership(aNode), [&](StorageId aStorage) {
    if (aStorage == OwnStorageId(aNode)) {
      return true;
    }
    const auto found = aNode.mProgress.find(aStorage);
    return found != aNode.mProgress.end() &&
           aContext.mNow - found->second.mLastReply < aContext.mSettings.mElectionTimeout;
  });
}

void
HandleAppend(Node& aNode, const Context& aContext, const Message& aMessage, Output& aOutput)
{
  const lw::consensus::Append& append = aMessage.append();
  const LogIndex base = aNode.mLog.mBaseIndex;
  const std::optional<Term> held = TermAt(aNode.mLog, append.previous_index());
  const bool compacted = append.previous_index() < base;
  aNode.mLeaderHeartbeatRound = std::max(aNode.mLeaderHeartbeatRound, append.round());
  if (!compacted && (!held.has_value() || *held != append.previous_term())) {
    RejectAppend(aNode, aContext, aMessage, aOutput);
    return;
  }
  if (!AreEntriesValid(aNode, append)) {
    return;
  }
  const size_t before = aOutput.mAppend.size();
  AppendNewEntries(aNode, append, aOutput);
  const LogIndex end = append.previous_index() + static_cast<uint64_t>(append.entries_size());
  aNode.mMatchedIndex = std::max(aNode.mMatchedIndex, std::max(end, base));
  aNode.mLeaderCommitIndex = std::max(aNode.mLeaderCommitIndex, append.commit_index());
  AdvanceFollowerCommit(aNode, aOutput);
  if (aOutput.mAppend.size() == before) {
    SendAppendReply(aNode, aContext, aOutput);
  }
}

void
HandleAppendReply(Node& aNode, const Context& aContext, const Message& aMessage, Output& aOutput)
{
  const auto found = aNode.mProgress.find(StorageId(aMessage.from_storage()));
  if (aNode.mRole != Role::Leader || found == aNode.mProgress.end()) {
    return;
  }
  Progress& progress = found->second;
  const lw::consensus::AppendReply& reply = aMessage.append_reply();
  progress.mLastReply = aContext.mNow;
  progress.mLeaving = reply.leaving();
  progress.mHeartbeatRound = std::max(progress.mHeartbeatRound, reply.round());
  if (!reply.matched()) {
    if (progress.mSnapshotIndex == 0) {
      const LogIndex next = std::min(reply.last_index() + 1, progress.mNextIndex - 1);
      progress.mNextIndex = std::max(next, progress.mSyncedIndex + 1);
      SendAppend(aNode, aContext, found->first, progress, aOutput);
    }
    ConfirmReads(aNode, aOutput);
    return;
  }
  progress.mSyncedIndex = std::max(progress.mSyncedIndex, reply.synced_index());
  progress.mNextIndex = std::max(progress.mNextIndex, progress.mSyncedIndex + 1);
  if (progress.mSnapshotIndex != 0 && progress.mSyncedIndex >= progress.mSnapshotIndex) {
    progress.mSnapshotIndex = 0;
    progress.mSnapshotOffset = 0;
  }
  AdvanceCommit(aNode, aOutput);
  if (progress.mSnapshotIndex == 0 && progress.mNextIndex <= LastIndex(aNode.mLog) &&
      progress.mNextIndex <= progress.mSyncedIndex + aContext.mSettings.mMaxUnconfirmedEntries) {
    SendAppend(aNode, aContext, found->first, progress, aOutput);
  }
  ConfirmReads(aNode, aOutput);
}

void
SendAppendReply(const Node& aNode, const Context& aContext, Output& aOutput)
{
  Message message = MakeMessage(aNode, aContext, aNode.mLeader, aNode.mLeaderStorage);
  lw::consensus::AppendReply* reply = message.mutable_append_reply();
  reply->set_matched(true);
  reply->set_synced_index(std::min(aNode.mMatchedIndex, aNode.mSyncedIndex));
  reply->set_round(aNode.mLeaderHeartbeatRound);
  reply->set_leaving(aNode.mLeaving);
  aOutput.mMessages.push_back(std::move(message));
}

void
AdvanceCommit(Node& aNode, Output& aOutput)
{
  const LogIndex synced = QuorumValue(CurrentMembership(aNode), [&](StorageId aStorage) {
    if (aStorage == OwnStorageId(aNode)) {
      return aNode.mSyncedIndex;
    }
    const auto found = aNode.mProgress.find(aStorage);
    return found == aNode.mProgress.end() ? LogIndex{ 0 } : found->second.mSyncedIndex;
  });
  // An entry of an earlier term can still be overwritten by a later leader even if a quorum has it,
  // so it is committed only together with an entry of the current term (Raft, section 5.4.2).
  if (synced <= aNode.mCommitIndex || TermAt(aNode.mLog, synced) != aNode.mHardState.mTerm) {
    return;
  }
  aNode.mCommitIndex = synced;
  AdvanceApplied(aNode, aOutput);
}

void
AdvanceFollowerCommit(Node& aNode, Output& aOutput)
{
  const LogIndex own = std::min(aNode.mMatchedIndex, aNode.mSyncedIndex);
  const LogIndex commit = std::min(aNode.mLeaderCommitIndex, own);
  if (commit > aNode.mCommitIndex) {
    aNode.mCommitIndex = commit;
    AdvanceApplied(aNode, aOutput);
  }
}

void
ConfirmReads(Node& aNode, Output& aOutput)
{
  if (aNode.mReads.empty()) {
    return;
  }
  const uint64_t round = QuorumValue(CurrentMembership(aNode), [&](StorageId aStorage) {
    if (aStorage == OwnStorageId(aNode)) {
      return aNode.mHeartbeatRound;
    }
    const auto found = aNode.mProgress.find(aStorage);
    return found == aNode.mProgress.end() ? uint64_t{ 0 } : found->second.mHeartbeatRound;
  });
  const auto answered = [&](const PendingRead& aRead) {
    return aRead.mHeartbeatRound <= round && aRead.mIndex <= aNode.mAppliedIndex;
  };
  for (const PendingRead& read : aNode.mReads) {
    if (answered(read)) {
      aOutput.mConfirmedReads.push_back(read.mId);
    }
  }
  aNode.mReads.erase(std::remove_if(aNode.mReads.begin(), aNode.mReads.end(), answered),
                     aNode.mReads.end());
}

} // namespace Consensus::Internal

#include "consensus/replication.h"

#include "consensus/roles.h"
#include "consensus/snapshottransfer.h"

#include <algorithm>

namespace Consensus::Internal {

namespace {

Progress&
ProgressOf(Node& aNode, const Context& aContext, const lw::consensus::Replica& aReplica)
{
  const auto [position, added] = aNode.mProgress.try_emplace(StorageId(aReplica.storage()));
  Progress& progress = position->second;
  if (added) {
    progress.mInstance = Base::InstanceId(aReplica.instance());
    progress.mNext = LastIndex(aNode.mLog) + 1;
    // A new leader gives everyone one election timeout to answer.
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
  const LogIndex previous = aProgress.mNext - 1;
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
  append->set_commit_index(aNode.mCommit);
  append->set_round(aNode.mRound);
  if (aProgress.mNext <= aProgress.mSynced + settings.mMaxUnconfirmedEntries) {
    for (const Entry& entry :
         Slice(aNode.mLog, aProgress.mNext, settings.mMaxAppendEntries, settings.mMaxAppendBytes)) {
      *append->add_entries() = entry;
    }
  }
  aProgress.mNext += static_cast<uint64_t>(append->entries_size());
  aOutput.mMessages.push_back(std::move(message));
}

template<typename Due>
void
SendIf(Node& aNode, const Context& aContext, Output& aOutput, const Due& aDue)
{
  for (const lw::consensus::Replica& replica : CurrentMembership(aNode).replicas()) {
    const StorageId storage(replica.storage());
    if (storage == OwnStorage(aNode)) {
      continue;
    }
    Progress& progress = ProgressOf(aNode, aContext, replica);
    if (aDue(progress)) {
      SendAppend(aNode, aContext, storage, progress, aOutput);
    }
  }
}

/// \return false if the entries do not follow each other, or contradict committed ones. A correct
/// leader sends neither.
bool
AreEntriesValid(const Node& aNode, const lw::consensus::Append& aAppend)
{
  LogIndex expected = aAppend.previous_index() + 1;
  for (const Entry& entry : aAppend.entries()) {
    const std::optional<Term> held = TermAt(aNode.mLog, entry.index());
    const bool contradicts =
      entry.index() <= aNode.mCommit && held.has_value() && *held != entry.term();
    if (entry.index() != expected || contradicts) {
      return false;
    }
    ++expected;
  }
  return true;
}

/// Appends what is new in the message; entries that are already held stay as they are.
void
TakeEntries(Node& aNode, const lw::consensus::Append& aAppend, Output& aOutput)
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
      RemoveEntriesFrom(aNode, entry.index());
    }
    AppendToLog(aNode, entry, aOutput);
  }
}

void
RefuseAppend(Node& aNode, const Context& aContext, const Message& aMessage, Output& aOutput)
{
  Message message = MakeReply(aNode, aContext, aMessage);
  lw::consensus::AppendReply* reply = message.mutable_append_reply();
  reply->set_round(aMessage.append().round());
  // An entry of another term is skipped together with everything that is not committed here.
  const LogIndex previous = aMessage.append().previous_index();
  const LogIndex last = LastIndex(aNode.mLog);
  reply->set_last_index(last < previous ? last : std::min(aNode.mCommit, previous - 1));
  aOutput.mMessages.push_back(std::move(message));
}

} // namespace

void
SendToAll(Node& aNode, const Context& aContext, Output& aOutput)
{
  // Pieces of a snapshot go out on replies and heartbeats only, or each new entry would repeat one.
  SendIf(aNode, aContext, aOutput, [](const Progress& aProgress) {
    return aProgress.mSnapshotIndex == 0;
  });
}

void
SendDueHeartbeats(Node& aNode, const Context& aContext, Output& aOutput)
{
  SendIf(aNode, aContext, aOutput, [&](const Progress& aProgress) {
    return aContext.mNow - aProgress.mLastSent >= aContext.mSettings.mHeartbeatInterval;
  });
}

bool
HasQuorumContact(const Node& aNode, const Context& aContext)
{
  return HasQuorum(CurrentMembership(aNode), [&](StorageId aStorage) {
    if (aStorage == OwnStorage(aNode)) {
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
  aNode.mLeaderRound = std::max(aNode.mLeaderRound, append.round());
  if (!compacted && (!held.has_value() || *held != append.previous_term())) {
    RefuseAppend(aNode, aContext, aMessage, aOutput);
    return;
  }
  if (!AreEntriesValid(aNode, append)) {
    return;
  }
  const size_t before = aOutput.mAppend.size();
  TakeEntries(aNode, append, aOutput);
  const LogIndex end = append.previous_index() + static_cast<uint64_t>(append.entries_size());
  aNode.mVerified = std::max(aNode.mVerified, std::max(end, base));
  aNode.mLeaderCommit = std::max(aNode.mLeaderCommit, append.commit_index());
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
  progress.mRound = std::max(progress.mRound, reply.round());
  if (!reply.matched()) {
    if (progress.mSnapshotIndex == 0) {
      const LogIndex next = std::min(reply.last_index() + 1, progress.mNext - 1);
      progress.mNext = std::max(next, progress.mSynced + 1);
      SendAppend(aNode, aContext, found->first, progress, aOutput);
    }
    ConfirmReads(aNode, aOutput);
    return;
  }
  progress.mSynced = std::max(progress.mSynced, reply.synced_index());
  progress.mNext = std::max(progress.mNext, progress.mSynced + 1);
  if (progress.mSnapshotIndex != 0 && progress.mSynced >= progress.mSnapshotIndex) {
    progress.mSnapshotIndex = 0;
    progress.mSnapshotOffset = 0;
  }
  AdvanceCommit(aNode, aOutput);
  if (progress.mSnapshotIndex == 0 && progress.mNext <= LastIndex(aNode.mLog) &&
      progress.mNext <= progress.mSynced + aContext.mSettings.mMaxUnconfirmedEntries) {
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
  reply->set_synced_index(std::min(aNode.mVerified, aNode.mSynced));
  reply->set_round(aNode.mLeaderRound);
  aOutput.mMessages.push_back(std::move(message));
}

void
AdvanceCommit(Node& aNode, Output& aOutput)
{
  const LogIndex synced = QuorumValue(CurrentMembership(aNode), [&](StorageId aStorage) {
    if (aStorage == OwnStorage(aNode)) {
      return aNode.mSynced;
    }
    const auto found = aNode.mProgress.find(aStorage);
    return found == aNode.mProgress.end() ? LogIndex{ 0 } : found->second.mSynced;
  });
  // An entry of an earlier term that a quorum holds can still be overwritten by a later leader, so
  // it commits only under an entry of the own term.
  if (synced <= aNode.mCommit || TermAt(aNode.mLog, synced) != aNode.mHardState.mTerm) {
    return;
  }
  aNode.mCommit = synced;
  AdvanceApplied(aNode, aOutput);
}

void
AdvanceFollowerCommit(Node& aNode, Output& aOutput)
{
  const LogIndex own = std::min(aNode.mVerified, aNode.mSynced);
  const LogIndex commit = std::min(aNode.mLeaderCommit, own);
  if (commit > aNode.mCommit) {
    aNode.mCommit = commit;
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
    if (aStorage == OwnStorage(aNode)) {
      return aNode.mRound;
    }
    const auto found = aNode.mProgress.find(aStorage);
    return found == aNode.mProgress.end() ? uint64_t{ 0 } : found->second.mRound;
  });
  const auto answered = [&](const PendingRead& aRead) {
    return aRead.mRound <= round && aRead.mIndex <= aNode.mApplied;
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

#pragma once

#include "absl/status/statusor.h"
#include "base/ids.h"
#include "base/random.h"
#include "base/runtimeclock.h"
#include "consensus/log.h"
#include "consensus/membership.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Consensus {

struct Settings
{
  Base::InstanceId mSelf;
  /// All control instances, including this one.
  std::vector<Base::InstanceId> mInstances;
  /// If true, this instance may create the first membership. Otherwise it can only join one.
  bool mCanFormCluster = true;
  /// If true, replicas of instances that are not in mInstances may join as well.
  bool mOpenMembership = false;
  /// With an open membership, a voter that has not replied for this long is removed if more than
  /// mMinVoters voters exist. If another replica can take its place, it is removed after an
  /// election timeout.
  Base::Duration mVoterRemovalTimeout = std::chrono::seconds(5);
  size_t mMinVoters = 3;
  /// Further replicas stay learners, because each voter makes every commit more expensive.
  size_t mMaxVoters = 9;
  Base::Duration mHeartbeatInterval = std::chrono::milliseconds(100);
  /// An election starts after a random time of one to two timeouts without contact to a leader. Ten
  /// heartbeat intervals, so that a few lost messages or a slow sync do not cost the leader its
  /// quorum.
  Base::Duration mElectionTimeout = std::chrono::milliseconds(1000);
  /// Without a known leader, a pre-vote is repeated after a random time of one to two intervals.
  /// The interval can be short because a pre-vote changes no term. After a restart of the whole
  /// cluster, the peers are often not running yet at the first pre-vote.
  Base::Duration mPreVoteInterval = std::chrono::milliseconds(50);
  /// After a vote that no candidate won, a pre-vote starts one to two waits after the sync of the
  /// vote. A wait is this interval plus twice the duration of that sync. The interval doubles with
  /// each further term without a commit, because waits that are shorter than a vote would end every
  /// vote early. A wait is at most mElectionTimeout. The initial interval exceeds the duration of a
  /// vote with messages of 4 ms and syncs of 5 ms (18 ms). It is two ticks of the driver (25 ms),
  /// so that the waits of two replicas usually end at different ticks.
  Base::Duration mVoteRetryInterval = std::chrono::milliseconds(50);
  uint64_t mSnapshotInterval = 1000;
  /// A snapshot is also due after entries of this total size. Complete configurations take up to
  /// megabytes each, and a start reads all entries since the last snapshot into memory.
  uint64_t mSnapshotIntervalBytes = uint64_t{ 8 } * 1024 * 1024;
  /// Number of entries kept before a snapshot, so that an instance that was unreachable briefly can
  /// catch up without a snapshot.
  uint64_t mRetainedEntries = 1000;
  /// Limit on the total size of these entries.
  uint64_t mRetainedBytes = uint64_t{ 4 } * 1024 * 1024;
  size_t mMaxAppendEntries = 64;
  size_t mMaxAppendBytes = size_t{ 256 } * 1024;
  /// Maximum number of entries in flight to a follower beyond the last one that it confirmed.
  uint64_t mMaxUnconfirmedEntries = 512;
  size_t mSnapshotPieceBytes = size_t{ 64 } * 1024;
};

/// Time, settings and random numbers for one call of the state machine.
struct Context
{
  Base::TimePoint mNow;
  const Settings& mSettings;
  Base::RandomSource& mRandom;
};

/// The persistent term and vote of Raft.
struct HardState
{
  StorageId mStorage;
  Term mTerm = 0;
  /// Replica that received the vote in mTerm, or 0 if the vote has not been given.
  StorageId mVotedFor;
};

enum class Role
{
  Follower,
  PreCandidate,
  Candidate,
  Leader
};

/// Replication state of another replica, kept by the leader.
struct Progress
{
  Base::InstanceId mInstance;
  LogIndex mSyncedIndex = 0;
  LogIndex mNextIndex = 1;
  uint64_t mHeartbeatRound = 0;
  Base::TimePoint mLastReply;
  Base::TimePoint mLastSent;
  /// True if the replica is about to stop.
  bool mLeaving = false;
  /// Index of the snapshot that is being sent, or 0 if there is none.
  LogIndex mSnapshotIndex = 0;
  uint64_t mSnapshotOffset = 0;
};

/// A linearizable read. It completes when a later heartbeat round has confirmed the leadership and
/// all entries that were committed before the read are applied.
struct PendingRead
{
  uint64_t mId = 0;
  uint64_t mHeartbeatRound = 0;
  LogIndex mIndex = 0;
};

/// A membership and the index of its log entry. It takes effect as soon as the entry is appended.
struct LoggedMembership
{
  LogIndex mIndex = 0;
  Membership mMembership;
};

/// One replica of the log. Owned by the thread that runs it. The log is bounded by compaction, the
/// number of pending reads by the caller. After a failure, the hard state, the snapshot and the log
/// are restored from the data directory; the rest is learned from the peers.
struct Node
{
  HardState mHardState;
  Log mLog;
  Snapshot mSnapshot;
  std::vector<LoggedMembership> mMemberships;

  Role mRole = Role::Follower;
  /// 0 while no leader is known.
  Base::InstanceId mLeader;
  StorageId mLeaderStorage;
  /// Latest heartbeat round received from the leader.
  uint64_t mLeaderHeartbeatRound = 0;
  LogIndex mSyncedIndex = 0;
  LogIndex mCommitIndex = 0;
  LogIndex mAppliedIndex = 0;
  /// Last entry known to match the log of the leader of this term.
  LogIndex mMatchedIndex = 0;
  LogIndex mLeaderCommitIndex = 0;
  Base::TimePoint mElectionDeadline;
  Base::TimePoint mNextHello;
  std::optional<Base::TimePoint> mLastLeaderContact;
  /// Replicas that granted a pre-vote for the next term.
  std::set<StorageId> mPreVotes;
  /// Replicas that granted a vote for the current term. Kept while a candidate repeats the
  /// pre-vote, because their votes are still valid. Empty if this replica was no candidate in this
  /// term.
  std::set<StorageId> mVotes;
  /// Number of new terms since the commit index last advanced. A leader that is deposed before it
  /// commits an entry does not reset it.
  uint32_t mTermsWithoutCommit = 0;
  /// Time of the call that changed the term or the vote. Reset by the next call, which comes after
  /// the sync.
  std::optional<Base::TimePoint> mVoteSyncStart;
  /// Duration of this replica's last sync of a term or vote, or 0 if there was none since the
  /// start.
  Base::Duration mVoteSync{ 0 };
  bool mHandedOver = false;
  /// True if this replica is about to stop and asks the leader to replace it.
  bool mLeaving = false;

  std::map<StorageId, Progress> mProgress;
  LogIndex mTermStartIndex = 0;
  uint64_t mHeartbeatRound = 0;
  std::vector<PendingRead> mReads;
  std::map<Base::InstanceId, StorageId> mJoining;

  /// Peers that replied to a Hello and know of no membership either.
  std::map<Base::InstanceId, StorageId> mUnformedPeers;

  Snapshot mIncomingSnapshot;
  /// A write or sync has failed. The node ignores all further calls.
  bool mFailed = false;
};

/// Actions that the caller must carry out, in this order: write and sync mHardState; send
/// mMessages; write and sync mInstall, load it into the state machine and call SnapshotInstalled;
/// write and sync mAppend and call EntriesSynced; apply mApply; answer the reads.
struct Output
{
  std::optional<HardState> mHardState;
  std::vector<Message> mMessages;
  std::optional<Snapshot> mInstall;
  /// If true, the entries after mInstall match it and are kept. Otherwise the whole log must be
  /// discarded.
  bool mInstallKeepsLog = false;
  std::vector<Entry> mAppend;
  std::vector<Entry> mApply;
  std::vector<uint64_t> mConfirmedReads;
  std::vector<uint64_t> mFailedReads;
};

/// State read from the data directory at startup.
struct Restored
{
  HardState mHardState;
  Snapshot mSnapshot;
  /// Synced entries without gaps. They may start before the last entry of the snapshot.
  std::vector<Entry> mEntries;
};

/// Creates a follower from the contents of the data directory. The state machine must already have
/// loaded the snapshot. Later entries are returned in Output::mApply once they are known to be
/// committed.
Node
Restore(const Context& aContext, Restored aRestored);

/// Processes timers. Must be called at least every half heartbeat interval.
Output
Tick(Node& aNode, const Context& aContext);

/// Handles a message from another control instance.
Output
Receive(Node& aNode, const Context& aContext, const Message& aMessage);

/// Reports that all entries up to and including aIndex are written and synced.
Output
EntriesSynced(Node& aNode, const Context& aContext, LogIndex aIndex, Term aTerm);

/// Reports that a snapshot from Output::mInstall is stored and loaded.
Output
SnapshotInstalled(Node& aNode, const Context& aContext, const Snapshot& aSnapshot);

/// Reports a failed write or sync. The node steps down and acknowledges nothing more.
Output
StorageFailed(Node& aNode);

/// Appends commands to the leader's log, with one message to each follower and one write.
/// \param aOutput receives the actions to carry out.
/// \return the index of the first entry, which is not committed yet and may be lost if this leader
/// fails; Unavailable if this instance is not the leader.
absl::StatusOr<LogIndex>
Propose(Node& aNode,
        const Context& aContext,
        const std::vector<std::string>& aCommands,
        Output& aOutput);

/// Starts a linearizable read at the leader. Its id is reported later in Output::mConfirmedReads or
/// Output::mFailedReads.
Output
RequestRead(Node& aNode, const Context& aContext, uint64_t aReadId);

/// Asks the voter with the longest synced log to become the leader, before a planned stop of this
/// one.
Output
TransferLeadership(Node& aNode, const Context& aContext);

/// Announces to the leader that this replica is about to stop, so that a learner takes its place.
void
StartLeaving(Node& aNode, const Context& aContext);

/// \return true if this replica is a voter that the leader removes once it knows that the replica
/// is about to stop. The process should then keep running until it is notified of the removal.
bool
AwaitsRemoval(const Node& aNode, const Settings& aSettings);

/// \return true if at least Settings::mSnapshotInterval entries, or entries of
/// Settings::mSnapshotIntervalBytes, were applied since the last snapshot.
bool
IsSnapshotDue(const Node& aNode, const Settings& aSettings);

/// \param aState is the serialized state machine after the last applied entry.
/// \return a snapshot up to the last applied entry.
Snapshot
MakeSnapshot(const Node& aNode, std::string aState);

/// \return the index of the last entry that can be discarded once this snapshot is synced.
LogIndex
CompactionIndex(const Node& aNode, const Settings& aSettings, const Snapshot& aSnapshot);

/// Reports that a snapshot from MakeSnapshot is synced, and compacts the log.
void
SnapshotStored(Node& aNode, const Settings& aSettings, Snapshot aSnapshot);

/// \return the current membership, empty if none has been created yet.
const Membership&
CurrentMembership(const Node& aNode);

/// \return true if the instance is the leader or heard from the leader within an election timeout.
bool
IsConnected(const Node& aNode, const Context& aContext);

} // namespace Consensus

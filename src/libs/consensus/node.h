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
  /// All control instances, the own one included.
  std::vector<Base::InstanceId> mInstances;
  /// This instance may take part in setting the first membership. Without it, it only joins.
  bool mMayForm = true;
  /// Replicas of instances that the settings do not name may join as well.
  bool mOpenMembership = false;
  /// With an open membership, a voter that has been silent for this long is removed while more than
  /// mMinVoters are left.
  Base::Duration mRemovalAge = std::chrono::seconds(5);
  size_t mMinVoters = 3;
  /// More replicas stay learners, because each voter adds to every commit.
  size_t mMaxVoters = 9;
  Base::Duration mHeartbeatInterval = std::chrono::milliseconds(100);
  /// An election starts after one to two of these without a leader. Ten heartbeats, so that a few
  /// lost messages or a slow sync do not cost the leader its quorum.
  Base::Duration mElectionTimeout = std::chrono::milliseconds(1000);
  /// Without a known leader, a pre-vote is repeated after one to two of these. It changes no term,
  /// so it disturbs nobody, and the first one after a common restart often finds its peers not yet
  /// running.
  Base::Duration mPreVoteInterval = std::chrono::milliseconds(150);
  uint64_t mSnapshotInterval = 1000;
  /// Entries kept before a snapshot, so that an instance that was away briefly needs no snapshot.
  uint64_t mRetainedEntries = 1000;
  size_t mMaxAppendEntries = 64;
  size_t mMaxAppendBytes = size_t{ 256 } * 1024;
  /// Entries sent to a follower beyond the last one that it has confirmed.
  uint64_t mMaxUnconfirmedEntries = 512;
  size_t mSnapshotPieceBytes = size_t{ 64 } * 1024;
};

/// What each step takes from outside.
struct Context
{
  Base::TimePoint mNow;
  const Settings& mSettings;
  Base::RandomSource& mRandom;
};

/// Contents of the term/vote file.
struct HardState
{
  StorageId mStorage;
  Term mTerm = 0;
  /// Replica that got the vote in mTerm; 0 is none.
  StorageId mVotedFor;
};

enum class Role
{
  Follower,
  PreCandidate,
  Candidate,
  Leader
};

/// What the leader knows of another replica.
struct Progress
{
  Base::InstanceId mInstance;
  LogIndex mSynced = 0;
  LogIndex mNext = 1;
  uint64_t mRound = 0;
  Base::TimePoint mLastReply;
  Base::TimePoint mLastSent;
  /// Snapshot that is being sent; 0 is none.
  LogIndex mSnapshotIndex = 0;
  uint64_t mSnapshotOffset = 0;
};

/// A read waits until a heartbeat round after it has confirmed the leadership and the entries that
/// were committed before it are applied.
struct PendingRead
{
  uint64_t mId = 0;
  uint64_t mRound = 0;
  LogIndex mIndex = 0;
};

/// A membership and the entry that set it; it is in force from the moment that entry is appended.
struct MembershipAt
{
  LogIndex mIndex = 0;
  Membership mMembership;
};

/// One replica of the log. Owned by the thread that drives it; the log part is bounded by
/// compaction, pending reads by the caller. After a failure it is restored from the data directory;
/// all else is learned again.
struct Node
{
  HardState mHardState;
  Log mLog;
  Snapshot mSnapshot;
  std::vector<MembershipAt> mMemberships;

  Role mRole = Role::Follower;
  /// 0 while no leader is known.
  Base::InstanceId mLeader;
  StorageId mLeaderStorage;
  /// Newest heartbeat round of the leader.
  uint64_t mLeaderRound = 0;
  LogIndex mSynced = 0;
  LogIndex mCommit = 0;
  LogIndex mApplied = 0;
  /// Last entry known to equal the leader's in this term.
  LogIndex mVerified = 0;
  LogIndex mLeaderCommit = 0;
  Base::TimePoint mElectionDeadline;
  Base::TimePoint mNextHello;
  std::optional<Base::TimePoint> mLastLeaderContact;
  std::set<StorageId> mVotes;
  bool mHandedOver = false;

  std::map<StorageId, Progress> mProgress;
  LogIndex mTermStartIndex = 0;
  uint64_t mRound = 0;
  std::vector<PendingRead> mReads;
  std::map<Base::InstanceId, StorageId> mJoining;

  /// Replies to Hello while the node is unformed: who answered, and that they are unformed too.
  std::map<Base::InstanceId, StorageId> mUnformedPeers;

  Snapshot mIncoming;
  /// A write or sync has failed; the node takes part in nothing any more.
  bool mFailed = false;
};

/// What a step asks for, in this order: write and sync mHardState; send mMessages; write and sync
/// mInstall, load it into the state machine and call SnapshotInstalled; write and sync mAppend and
/// call EntriesSynced; apply mApply; answer the reads.
struct Output
{
  std::optional<HardState> mHardState;
  std::vector<Message> mMessages;
  std::optional<Snapshot> mInstall;
  /// The held entries after mInstall continue it; otherwise the whole log is to be discarded.
  bool mInstallKeepsLog = false;
  std::vector<Entry> mAppend;
  std::vector<Entry> mApply;
  std::vector<uint64_t> mConfirmedReads;
  std::vector<uint64_t> mFailedReads;
};

/// What the data directory held at the start.
struct Restored
{
  HardState mHardState;
  Snapshot mSnapshot;
  /// Synced entries without gaps. They may begin before the end of the snapshot.
  std::vector<Entry> mEntries;
};

/// Makes a follower from the contents of the data directory. The state machine must hold the
/// snapshot; the entries after it are returned for applying once they are known to be committed.
Node
Restore(const Context& aContext, Restored aRestored);

/// Runs timers; to be called at least every half heartbeat interval.
Output
Tick(Node& aNode, const Context& aContext);

/// Handles a message from another control instance.
Output
Receive(Node& aNode, const Context& aContext, const Message& aMessage);

/// Reports that all entries up to this one are written and synced.
Output
EntriesSynced(Node& aNode, const Context& aContext, LogIndex aIndex, Term aTerm);

/// Reports that a snapshot from Output::mInstall is stored and loaded.
Output
SnapshotInstalled(Node& aNode, const Context& aContext, const Snapshot& aSnapshot);

/// Reports a failed write or sync. The node steps down and acknowledges nothing from now on.
Output
StorageFailed(Node& aNode);

/// Appends commands at the leader, as one message to each follower and one write.
/// \param aOutput receives what the step asks for.
/// \return the index of the first entry, which may still be lost with this leader; Unavailable if
/// this instance does not lead.
absl::StatusOr<LogIndex>
Propose(Node& aNode,
        const Context& aContext,
        const std::vector<std::string>& aCommands,
        Output& aOutput);

/// Starts a read at the leader. Its id appears later in Output::mConfirmedReads or mFailedReads.
Output
RequestRead(Node& aNode, const Context& aContext, uint64_t aReadId);

/// Asks the most advanced voter to take over, for a planned stop of the leader.
Output
HandOverLeadership(Node& aNode, const Context& aContext);

/// \return true when enough entries are applied after the last snapshot.
bool
IsSnapshotDue(const Node& aNode, const Settings& aSettings);

/// \return a snapshot at the last applied entry.
/// \param aState is the state machine after that entry.
Snapshot
MakeSnapshot(const Node& aNode, std::string aState);

/// \return the last entry that need not be kept once this snapshot is synced.
LogIndex
CompactionIndex(const Settings& aSettings, const Snapshot& aSnapshot);

/// Reports that a snapshot of MakeSnapshot is synced, and compacts the log.
void
SnapshotStored(Node& aNode, const Settings& aSettings, Snapshot aSnapshot);

/// \return the membership in force, empty while unformed.
const Membership&
CurrentMembership(const Node& aNode);

/// \return true if the instance leads or heard from the leader within an election timeout.
bool
IsConnected(const Node& aNode, const Context& aContext);

} // namespace Consensus

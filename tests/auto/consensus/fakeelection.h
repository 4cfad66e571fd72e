#pragma once

#include "consensus/node.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

/// Delays and faults of a simulated election.
struct ElectionModel
{
  uint32_t mReplicas = 3;
  Base::Duration mMinDelay = std::chrono::microseconds(100);
  Base::Duration mMaxDelay = std::chrono::milliseconds(4);
  Base::Duration mMinSync = std::chrono::milliseconds(1);
  Base::Duration mMaxSync = std::chrono::milliseconds(5);
  /// The replicas start at random times within this interval.
  Base::Duration mStartSpread = Base::Duration(0);
  /// Share of the messages that are lost, in permille.
  uint64_t mLossPermille = 0;
};

/// The replicas of a formed cluster, from their simultaneous restart on. Unlike FakeCluster, it
/// models the time of a sync, during which a replica handles no message and sends none, and the
/// times at which the driver of the log calls Tick. Time is simulated, and the seed determines the
/// run.
class FakeElection
{
public:
  /// Term of all replicas at the restart.
  static constexpr Consensus::Term kStartTerm = 3;

  FakeElection(uint64_t aSeed, const ElectionModel& aModel);

  /// Advances the simulated time by one step.
  void Step();

  /// Runs until a replica is the leader.
  /// \return false if there is none within aBound.
  bool RunUntilLeader(Base::Duration aBound);

  /// Runs until the first entry of a leader's term is committed by that leader.
  /// \return false if there is none within aBound.
  bool RunUntilCommitted(Base::Duration aBound);

  /// Runs until a replica has granted its vote to another one.
  /// \return the replica that received the vote.
  uint32_t RunUntilVoteIsGranted();

  /// Stops the replica for good. Its messages in flight are lost.
  void Crash(uint32_t aInstance);
  /// Must be called before the first step.
  void DelayStart(uint32_t aInstance, Base::Duration aDelay);

  /// \return the leader with the latest term, or 0.
  uint32_t Leader() const;
  const Consensus::Node& Node(uint32_t aInstance) const { return mProcesses.at(aInstance).mNode; }
  /// \return the time since the start of the replica that completed a majority.
  Base::Duration SinceMajority() const;
  /// True if two replicas were the leader of one term.
  bool mTwoLeaders = false;

private:
  struct Process
  {
    Consensus::Settings mSettings;
    Base::RandomSource mRandom;
    Consensus::Node mNode;
    Base::TimePoint mStart;
    Base::TimePoint mNextTick;
    /// End of the sync that is under way.
    Base::TimePoint mBusyUntil;
    std::vector<Consensus::Message> mInbox;
    /// Last entry of the append that is being synced.
    std::optional<Consensus::Entry> mSyncing;
    bool mStarted = false;
    bool mCrashed = false;
  };

  Consensus::Context Context(Process& aProcess);
  Base::Duration Between(Base::Duration aMin, Base::Duration aMax);
  void Run(Process& aProcess);
  void Perform(Process& aProcess, const Consensus::Output& aOutput);
  void DeliverMessages();
  void CheckLeaders();

  ElectionModel mModel;
  Base::RandomSource mRandom;
  Base::TimePoint mNow;
  std::map<uint32_t, Process> mProcesses;
  std::multimap<Base::TimePoint, Consensus::Message> mInFlight;
  std::map<Consensus::Term, uint32_t> mLeaderOfTerm;
};

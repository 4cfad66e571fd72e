#pragma once

#include "../storage/fakedisk.h"
#include "replication/replica.h"

#include <deque>
#include <memory>
#include <set>
#include <string>
#include <vector>

/// A cluster of control instances on a simulated network and in-memory disks. It checks the
/// guarantees of the log during the run. Time is simulated, and the seed determines the run.
class FakeCluster
{
public:
  FakeCluster(uint64_t aSeed, uint32_t aInstances);

  /// Advances the simulated time by aDuration in steps of 5 ms.
  void Run(Base::Duration aDuration);

  /// Runs until the condition holds.
  /// \return false if it does not hold within aBound.
  bool RunUntil(const std::function<bool()>& aCondition, Base::Duration aBound);

  void Start(uint32_t aInstance);
  /// Stops the process and discards unsynced writes.
  void Crash(uint32_t aInstance);
  /// Announces that the instance is about to stop, and stops it once it has left the membership or
  /// need not wait for that. Advances the time by at most aBound.
  void Leave(uint32_t aInstance, Base::Duration aBound);
  bool IsRunning(uint32_t aInstance) const;
  /// Drops all messages to and from the instance.
  void SetIsolated(uint32_t aInstance, bool aIsolated);

  /// Proposes a change at the instance.
  /// \return false if the instance is not the leader.
  bool Propose(uint32_t aInstance);
  /// Starts a read at the instance. It must see all changes that were acknowledged before.
  void Read(uint32_t aInstance);

  /// \return the leader with the latest term that is not isolated, or 0.
  uint32_t Leader() const;
  Consensus::Term Term(uint32_t aInstance) const;
  const Consensus::Node& Node(uint32_t aInstance) const;
  /// \return true if the running instances have applied every acknowledged change.
  bool HasConverged() const;

  FakeDisk& Disk(uint32_t aInstance) { return *mDisks.at(aInstance); }
  /// First violation of a guarantee, empty if there is none.
  const std::string& Violation() const { return mViolation; }

  /// Share of the messages that are lost or sent twice, in permille.
  uint64_t mLossPermille = 0;
  uint64_t mDuplicatePermille = 0;
  Consensus::Settings mSettings;
  size_t mAcknowledged = 0;
  size_t mReads = 0;
  uint64_t mMessages = 0;
  uint64_t mMessageBytes = 0;

private:
  struct Process
  {
    Replication::Replica mReplica;
    /// State machine: all applied commands in order.
    std::vector<std::string> mApplied;
    /// Commands proposed at this instance and not yet applied, by index.
    std::map<Consensus::LogIndex, std::string> mPendingProposals;
    /// Minimum number of applied commands that each read must see.
    std::map<uint64_t, size_t> mReadsInProgress;
  };

  Replication::ReplicaPorts MakePorts(uint32_t aInstance, Process& aProcess);
  void Apply(Process& aProcess, const Consensus::Entry& aEntry);
  void Send(const Consensus::Message& aMessage);
  void Step();
  void CheckLeaders();
  void RecordViolation(const std::string& aViolation);

  Base::RandomSource mRandom;
  Base::TimePoint mNow;
  std::map<uint32_t, std::unique_ptr<FakeDisk>> mDisks;
  std::map<uint32_t, std::unique_ptr<Process>> mProcesses;
  std::set<uint32_t> mIsolated;
  std::multimap<Base::TimePoint, Consensus::Message> mInFlight;
  std::map<Consensus::Term, uint64_t> mLeaderOfTerm;
  /// Command at each index, as applied by the first instance.
  std::map<Consensus::LogIndex, std::string> mCommitted;
  std::map<Consensus::LogIndex, std::string> mAcknowledgedAt;
  /// Number of commands up to the last acknowledged one.
  size_t mAcknowledgedLength = 0;
  uint64_t mNextCommand = 0;
  uint64_t mNextRead = 0;
  std::string mViolation;
};

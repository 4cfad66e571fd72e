#pragma once

#include "../storage/fakedisk.h"
#include "replication/replica.h"

#include <deque>
#include <memory>
#include <set>
#include <string>
#include <vector>

/// Control instances on a small network and disks in memory, with the checks that must hold at all
/// times. Nothing in it reads a clock; the seed determines the run.
class FakeCluster
{
public:
  FakeCluster(uint64_t aSeed, uint32_t aInstances);

  /// Runs for this long in steps of 5 ms.
  void Run(Base::Duration aDuration);

  /// Runs until the condition holds.
  /// \return false if it does not within the bound.
  bool RunUntil(const std::function<bool()>& aCondition, Base::Duration aBound);

  void Start(uint32_t aInstance);
  /// Stops the process and loses what was not synced.
  void Crash(uint32_t aInstance);
  bool IsRunning(uint32_t aInstance) const;
  /// Cuts an instance off; nobody is told.
  void SetIsolated(uint32_t aInstance, bool aIsolated);

  /// Sends a change to the instance.
  /// \return false if it does not lead.
  bool Propose(uint32_t aInstance);
  /// Starts a read at the instance, to be checked against the changes acknowledged before.
  void Read(uint32_t aInstance);

  /// \return the leader that is in contact with a quorum, or 0.
  uint32_t Leader() const;
  Consensus::Term Term(uint32_t aInstance) const;
  const Consensus::Node& Node(uint32_t aInstance) const;
  /// \return true if the running instances have applied every acknowledged change.
  bool HasConverged() const;

  FakeDisk& Disk(uint32_t aInstance) { return *mDisks.at(aInstance); }
  /// First contradiction to a guarantee, empty if there is none.
  const std::string& Violation() const { return mViolation; }

  /// Thousandths of the messages that are lost, or sent twice.
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
    /// The state machine: all commands in order.
    std::vector<std::string> mApplied;
    /// Proposed here and not yet applied, by index.
    std::map<Consensus::LogIndex, std::string> mWaiting;
    /// Commands that each read must see at least.
    std::map<uint64_t, size_t> mReadsInProgress;
  };

  Replication::ReplicaPorts PortsOf(uint32_t aInstance, Process& aProcess);
  void Apply(Process& aProcess, const Consensus::Entry& aEntry);
  void Send(const Consensus::Message& aMessage);
  void Step();
  void CheckLeaders();
  void Fail(const std::string& aViolation);

  Base::RandomSource mRandom;
  Base::TimePoint mNow;
  std::map<uint32_t, std::unique_ptr<FakeDisk>> mDisks;
  std::map<uint32_t, std::unique_ptr<Process>> mProcesses;
  std::set<uint32_t> mIsolated;
  std::multimap<Base::TimePoint, Consensus::Message> mInFlight;
  std::map<Consensus::Term, uint64_t> mLeaderOfTerm;
  /// Command of each index, from the first instance that applied it.
  std::map<Consensus::LogIndex, std::string> mCommitted;
  std::map<Consensus::LogIndex, std::string> mAcknowledgedAt;
  /// Commands up to the last acknowledged one.
  size_t mAcknowledgedLength = 0;
  uint64_t mNextCommand = 0;
  uint64_t mNextRead = 0;
  std::string mViolation;
};

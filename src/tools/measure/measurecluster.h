#pragma once

#include "config/logstate.h"
#include "replication/replica.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Measure {

/// Three replicas of the configuration log with an in-memory network. Time is given by the caller:
/// the real clock when files are real, a simulated one otherwise.
class MeasureCluster
{
public:
  /// \param aFiles gives the file operations of an instance.
  /// \param aDelay is the one-way delay of messages.
  MeasureCluster(uint64_t aSeed,
                 std::function<Storage::FilePort(uint32_t)> aFiles,
                 std::string aFolder,
                 Base::Duration aDelay);

  absl::Status Start(uint32_t aInstance, Base::TimePoint aNow);
  void Stop(uint32_t aInstance);

  /// Delivers due messages and runs due timers.
  void Step(Base::TimePoint aNow);
  /// \return the time at which there is something to do.
  Base::TimePoint NextEvent() const;

  /// \return the leader, or 0.
  uint32_t Leader() const;
  /// Proposes the next changes at the leader, each from the version that the one before gives.
  /// \return false without a leader.
  bool Propose(uint64_t aCount, Base::TimePoint aNow);
  /// \return the version that the leader has applied, 0 without a leader.
  uint64_t AppliedVersion() const;

  uint64_t mMessages = 0;
  uint64_t mMessageBytes = 0;

private:
  struct Process
  {
    Replication::Replica mReplica;
    Config::LogState mState;
  };

  Replication::ReplicaPorts PortsOf(Process& aProcess);

  Base::RandomSource mRandom;
  std::function<Storage::FilePort(uint32_t)> mFiles;
  std::string mFolder;
  Base::Duration mDelay;
  Base::TimePoint mNow;
  Base::TimePoint mNextTick;
  uint64_t mProposed = 0;
  std::map<uint32_t, std::unique_ptr<Process>> mProcesses;
  std::multimap<Base::TimePoint, Consensus::Message> mInFlight;
};

} // namespace Measure

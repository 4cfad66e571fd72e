#pragma once

#include "config/logstate.h"
#include "replication/replica.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Measure {

/// Three replicas of the configuration log connected by an in-memory network. The caller provides
/// the time: the real clock with files on disk, a simulated clock with files in memory.
class MeasureCluster
{
public:
  /// \param aFiles returns the file operations of an instance.
  /// \param aDelay is the one-way delay of messages.
  MeasureCluster(uint64_t aSeed,
                 std::function<Storage::FilePort(uint32_t)> aFiles,
                 std::string aFolder,
                 Base::Duration aDelay);

  absl::Status Start(uint32_t aInstance, Base::TimePoint aNow);
  void Stop(uint32_t aInstance);

  /// Delivers the messages and runs the timers that are due.
  void Step(Base::TimePoint aNow);
  /// \return the time of the next message or timer.
  Base::TimePoint NextEvent() const;

  /// \return the instance with the leader of the highest term, or 0 if there is no leader.
  uint32_t Leader() const;
  /// Proposes changes to the leader, each based on the version that the previous one produces.
  /// \return false if there is no leader or it rejects the changes.
  bool Propose(uint64_t aCount, Base::TimePoint aNow);
  /// \return the version that the leader has applied, or 0 if there is no leader.
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

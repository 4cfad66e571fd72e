#pragma once

#include "absl/status/status.h"
#include "base/ids.h"
#include "control/configstore.h"
#include "control/controlsettings.h"
#include "control/peersockets.h"
#include "control/posixfiles.h"
#include "control/requestqueue.h"
#include "replication/replica.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace Control {

/// Runs the replicated log in one thread: messages of the other control instances, timers, and the
/// requests of operators.
class LogDriver
{
public:
  /// \param aSeed differs at each start of the process.
  LogDriver(const ControlSettings& aSettings, ConfigStore& aStore, uint64_t aSeed);
  ~LogDriver();
  LogDriver(const LogDriver&) = delete;
  LogDriver& operator=(const LogDriver&) = delete;

  /// Opens the data directory and starts the thread.
  absl::Status Start();

  /// Hands over the leadership and ends the thread.
  void Stop();

  /// Proposes a change and waits for its outcome.
  /// \return Unavailable if this instance does not lead or stopped leading, DeadlineExceeded after
  /// aLimit; the change may then still be accepted.
  ChangeOutcome Apply(const lw::config::Change& aChange, Base::Duration aLimit);

  /// Proposes a change without waiting.
  void Apply(const lw::config::Change& aChange, FinishCall aFinish);

  /// Confirms without waiting that the store holds everything acknowledged before the call.
  void ConfirmRead(FinishCall aFinish);

  /// Replaces the control instances that are asked for the log while this one is in no membership.
  void SetKnownInstances(std::vector<Base::InstanceId> aInstances);

  /// \return false if the log thread has been held up for this long, for example by its disk.
  bool IsResponsive(Base::Duration aLimit) const;

  /// \return the instances in the membership of the log.
  std::vector<Base::InstanceId> Members() const;

  /// Waits until the store holds everything that was acknowledged before the call.
  absl::Status ConfirmRead(Base::Duration aLimit);

  /// \return true if a leader is known that was heard within an election timeout.
  bool IsConnected() const;

  /// \return the leader's address for operators, empty if none is known.
  std::string LeaderAddress() const;

  void FillStatus(lw::operator_api::ControlStatus& aStatus) const;

private:
  Replication::ReplicaPorts MakePorts();
  // In logrecovery.cpp: the data directory after a failure or a removal.
  absl::Status OpenReplica(const Consensus::Settings& aSettings);
  void TakeKnownInstances();
  void RecoverReplica();
  bool TellsRetirement(const Consensus::Message& aMessage) const;
  void Rejoin();
  void Run();
  void Wait();
  void ReceiveMessages();
  void TakeRequests();
  void ProposeAll(const std::vector<RequestPtr>& aRequests);
  void ReadAll(std::vector<RequestPtr> aRequests);
  void Tick();
  void ShareReports();
  void ReleaseAddresses();
  void HandOver();
  void Apply(const Consensus::Entry& aEntry);
  void FinishRead(uint64_t aReadId, bool aConfirmed);
  void RefuseRemaining();
  void PublishStatus();

  const ControlSettings& mSettings;
  ConfigStore& mStore;
  zmq::context_t mContext;
  std::unique_ptr<PeerSockets> mPeers;
  DirectoryLock mLock;
  RequestQueue mQueue;
  std::thread mThread;
  std::atomic<bool> mStopping{ false };

  // Used by the log thread only.
  Base::RandomSource mRandom;
  Replication::Replica mReplica;
  PendingChanges mPending;
  std::map<uint64_t, std::vector<RequestPtr>> mReads;
  uint64_t mNextReadId = 0;
  Base::TimePoint mNextTick;
  Base::TimePoint mNextRelease;
  Base::TimePoint mStopBy;
  bool mDone = false;
  absl::Status mFailure;
  Base::TimePoint mNextRecovery;
  /// Nanoseconds of the runtime clock at the last turn of the log thread.
  std::atomic<int64_t> mLastTurn{ 0 };

  mutable std::mutex mMutex;
  lw::operator_api::ControlStatus mStatus;
  Base::InstanceId mLeader;
  std::vector<Base::InstanceId> mMembers;
  std::vector<Base::InstanceId> mNewInstances;
};

} // namespace Control

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

/// Runs the replicated log in a thread, which handles messages from the other control instances,
/// timers, and requests of operators.
class LogDriver
{
public:
  /// \param aSeed must be different at each start of the process.
  LogDriver(const ControlSettings& aSettings, ConfigStore& aStore, uint64_t aSeed);
  ~LogDriver();
  LogDriver(const LogDriver&) = delete;
  LogDriver& operator=(const LogDriver&) = delete;

  /// Opens the data directory and starts the thread.
  absl::Status Start();

  /// Transfers the leadership to another instance, lets a learner take the place of this replica if
  /// there is one, and stops the thread.
  void Stop();

  /// Proposes a change and waits for its outcome.
  /// \return the outcome; Unavailable if this instance is not or no longer the leader;
  /// DeadlineExceeded after aLimit. After these errors the change may still be accepted.
  ChangeOutcome Apply(const lw::config::Change& aChange, Base::Duration aLimit);

  /// Proposes a change without waiting.
  /// \param aIsWithdrawn may be empty. If it returns true, the change is not proposed and its
  /// outcome is Cancelled.
  void Apply(const lw::config::Change& aChange,
             FinishCallback aFinish,
             WithdrawalCheck aIsWithdrawn = {});

  /// Calls aFinish once the store contains everything that was acknowledged before the call.
  void ConfirmRead(FinishCallback aFinish);

  /// Replaces the control instances that this one contacts while it is not part of a membership.
  void SetPeerInstances(std::vector<Base::InstanceId> aInstances);

  /// \return false if the log thread has been blocked for longer than aLimit, for example by a slow
  /// disk.
  bool IsResponsive(Base::Duration aLimit) const;

  /// \return the instances in the current membership of the log.
  std::vector<Base::InstanceId> Members() const;

  /// Waits until the store contains everything that was acknowledged before the call.
  absl::Status ConfirmRead(Base::Duration aLimit);

  /// \return true if this instance is the leader or heard from it within an election timeout.
  bool IsConnected() const;

  /// \return the operator address of the leader, empty if no leader is known.
  std::string LeaderAddress() const;

  void FillStatus(lw::operator_api::ControlStatus& aStatus) const;

private:
  Replication::ReplicaPorts MakePorts();
  // Defined in logrecovery.cpp: recovery after a storage failure or a removal.
  absl::Status OpenReplica(const Consensus::Settings& aSettings);
  void UpdatePeerInstances();
  void RecoverReplica();
  bool IsRetirementNotice(const Consensus::Message& aMessage) const;
  void Rejoin();
  /// Opens the connections to the members before the first election. Otherwise its first vote
  /// requests would be dropped, and all control instances would start an election later.
  void ConnectToMembers();
  void Run();
  void WaitForEvents();
  void ReceiveMessages();
  void TakeRequests();
  void ProposeChanges(const std::vector<RequestPtr>& aRequests);
  void StartReads(std::vector<RequestPtr> aRequests);
  void Tick();
  void ShareReports();
  void ReleaseAddresses();
  /// Advances a planned stop and ends the loop of the log thread once nothing is left to wait for.
  void AdvanceStop();
  void Apply(const Consensus::Entry& aEntry);
  void FinishRead(uint64_t aReadId, bool aConfirmed);
  void RejectPendingRequests();
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
  Base::TimePoint mStopDeadline;
  bool mDone = false;
  /// Log index of the membership that was logged last.
  Consensus::LogIndex mLoggedMembershipIndex = 0;
  absl::Status mFailure;
  Base::TimePoint mNextRecovery;
  /// Runtime clock in nanoseconds at the last iteration of the log thread.
  std::atomic<int64_t> mLastIteration{ 0 };

  mutable std::mutex mMutex;
  lw::operator_api::ControlStatus mStatus;
  Base::InstanceId mLeader;
  std::vector<Base::InstanceId> mMembers;
  std::vector<Base::InstanceId> mNewPeerInstances;
};

} // namespace Control

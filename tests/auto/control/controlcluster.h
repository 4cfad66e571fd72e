#pragma once

#include "config.pb.h"
#include "operator.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

/// Runs lw-control processes on free loopback ports. The destructor removes their data directories.
class ControlCluster
{
public:
  /// \param aReportWindowSeconds is written to the settings of each instance.
  ControlCluster(uint32_t aInstances, int aReportWindowSeconds);
  ~ControlCluster();
  ControlCluster(const ControlCluster&) = delete;
  ControlCluster& operator=(const ControlCluster&) = delete;

  void Start(uint32_t aInstance);
  /// Sends a signal. With SIGKILL, also waits for the process to end.
  void Signal(uint32_t aInstance, int aSignal);
  /// Waits for the process to end after SIGTERM.
  /// \return the exit code, or -1 if it had to be killed.
  int WaitForExit(uint32_t aInstance);
  /// Removes the data directory of a stopped instance.
  void Wipe(uint32_t aInstance);
  /// Runs lw-control --inspect on a data directory.
  /// \return the exit code.
  int Inspect(uint32_t aInstance);
  bool IsRunning(uint32_t aInstance) const { return mProcesses.count(aInstance) != 0; }

  /// \return the leader with the highest term, or 0.
  uint32_t Leader();
  uint32_t WaitForLeader();
  /// \return the status of an instance, empty if it does not reply.
  lw::operator_api::StatusReply Status(uint32_t aInstance);

  /// Sends the change to one instance without retrying.
  grpc::Status Apply(uint32_t aInstance, const lw::config::Change& aChange, uint64_t& aVersion);
  grpc::Status Read(uint32_t aInstance, lw::config::State& aState);
  /// Sends the change to the instances in turn until its outcome is known.
  /// \return the outcome, or the last error after 30 s.
  grpc::Status ApplyUntilKnown(const lw::config::Change& aChange, uint64_t& aVersion);
  /// \return the state from the leader, empty if there is no leader within 30 s.
  lw::config::State ReadFromLeader();

  std::string FeedAddress(uint32_t aInstance) const;
  std::string OperatorAddress(uint32_t aInstance) const;

  /// Polls the condition every 20 ms.
  /// \return false if it does not hold within aBound.
  static bool WaitUntil(const std::function<bool()>& aCondition, std::chrono::seconds aBound);

private:
  pid_t Run(const std::vector<std::string>& aArguments, const std::string& aLog) const;
  void WriteSettings(uint32_t aInstance, int aReportWindowSeconds) const;
  std::string File(uint32_t aInstance, const std::string& aSuffix) const;
  std::unique_ptr<lw::operator_api::Operator::Stub> Connect(uint32_t aInstance) const;

  struct Ports
  {
    int mOperator = 0;
    int mFeed = 0;
    int mPeer = 0;
  };

  std::string mFolder;
  /// Instance that replied to the last change.
  uint32_t mPreferred = 1;
  std::map<uint32_t, Ports> mPorts;
  std::map<uint32_t, pid_t> mProcesses;
};

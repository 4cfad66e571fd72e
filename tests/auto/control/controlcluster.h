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

/// Real lw-control processes on free loopback ports, with data directories that are removed at the
/// end.
class ControlCluster
{
public:
  /// \param aReportWindowSeconds goes into the settings.
  ControlCluster(uint32_t aInstances, int aReportWindowSeconds);
  ~ControlCluster();
  ControlCluster(const ControlCluster&) = delete;
  ControlCluster& operator=(const ControlCluster&) = delete;

  void Start(uint32_t aInstance);
  /// Sends a signal; SIGKILL also collects the process.
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

  /// \return the instance that leads with the highest term, or 0.
  uint32_t Leader();
  uint32_t WaitForLeader();
  /// \return the status of an instance, without members if it does not answer.
  lw::operator_api::StatusReply Status(uint32_t aInstance);

  /// Calls one instance once.
  grpc::Status Apply(uint32_t aInstance, const lw::config::Change& aChange, uint64_t& aVersion);
  grpc::Status Read(uint32_t aInstance, lw::config::State& aState);
  /// Sends the change to each instance in turn until its outcome is known.
  /// \return the outcome, or the last error after 30 s.
  grpc::Status ApplyUntilKnown(const lw::config::Change& aChange, uint64_t& aVersion);
  /// \return the state from the leader, empty after 30 s without one.
  lw::config::State ReadFromLeader();

  std::string FeedAddress(uint32_t aInstance) const;
  std::string OperatorAddress(uint32_t aInstance) const;

  /// Checks a condition every 20 ms.
  /// \return false if it does not hold within the bound.
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
  /// Instance that answered the last change.
  uint32_t mPreferred = 1;
  std::map<uint32_t, Ports> mPorts;
  std::map<uint32_t, pid_t> mProcesses;
};

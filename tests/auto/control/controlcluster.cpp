#include "controlcluster.h"

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <random>
#include <set>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace {

constexpr std::chrono::milliseconds kPoll{ 20 };
constexpr std::chrono::seconds kBound{ 30 };
constexpr std::chrono::seconds kCallTimeout{ 3 };

bool
IsFree(int aPort)
{
  const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<uint16_t>(aPort));
  const bool free = bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
  close(descriptor);
  return free;
}

/// \return a free port below the kernel's range for outgoing connections, so that no connection
/// occupies it before the process binds it.
int
ReserveFreePort()
{
  static std::set<int> sTaken;
  static std::random_device sDevice;
  std::uniform_int_distribution<int> distribution(10000, 31999);
  int port = 0;
  do {
    port = distribution(sDevice);
  } while (!IsFree(port) || !sTaken.insert(port).second);
  return port;
}

std::string
Loopback(int aPort)
{
  return "127.0.0.1:" + std::to_string(aPort);
}

bool
IsUnknown(const grpc::Status& aStatus)
{
  return aStatus.error_code() == grpc::StatusCode::UNAVAILABLE ||
         aStatus.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED;
}

void
SetDeadline(grpc::ClientContext& aContext)
{
  aContext.set_deadline(std::chrono::system_clock::now() + kCallTimeout);
}

} // namespace

ControlCluster::ControlCluster(uint32_t aInstances, int aReportWindowSeconds)
{
  std::string pattern = std::filesystem::temp_directory_path() / "tst_control.XXXXXX";
  mFolder = mkdtemp(pattern.data());
  for (uint32_t instance = 1; instance <= aInstances; ++instance) {
    mPorts[instance] = { ReserveFreePort(), ReserveFreePort(), ReserveFreePort() };
  }
  for (uint32_t instance = 1; instance <= aInstances; ++instance) {
    WriteSettings(instance, aReportWindowSeconds);
    Start(instance);
  }
}

ControlCluster::~ControlCluster()
{
  while (!mProcesses.empty()) {
    Signal(mProcesses.begin()->first, SIGKILL);
  }
  std::filesystem::remove_all(mFolder);
}

std::string
ControlCluster::File(uint32_t aInstance, const std::string& aSuffix) const
{
  return mFolder + "/control" + std::to_string(aInstance) + aSuffix;
}

void
ControlCluster::WriteSettings(uint32_t aInstance, int aReportWindowSeconds) const
{
  nlohmann::json settings;
  settings["instance"] = aInstance;
  settings["availability_zone"] = "zone-" + std::to_string(aInstance);
  settings["operator_listen"] = Loopback(mPorts.at(aInstance).mOperator);
  settings["feed_listen"] = Loopback(mPorts.at(aInstance).mFeed);
  settings["peer_listen"] = Loopback(mPorts.at(aInstance).mPeer);
  settings["data_directory"] = File(aInstance, ".data");
  settings["report_window_seconds"] = aReportWindowSeconds;
  settings["snapshot_interval"] = 100;
  settings["heartbeat_ms"] = 50;
  settings["election_timeout_ms"] = 500;
  settings["availability_zones"] = { { "zone-1", "region" }, { "zone-2", "region" } };
  for (const auto& [instance, ports] : mPorts) {
    settings["instances"].push_back({ { "instance", instance },
                                      { "peer_address", Loopback(ports.mPeer) },
                                      { "operator_address", Loopback(ports.mOperator) } });
  }
  std::ofstream(File(aInstance, ".json")) << settings.dump(2);
}

pid_t
ControlCluster::Run(const std::vector<std::string>& aArguments, const std::string& aLog) const
{
  std::vector<char*> arguments{ const_cast<char*>(LW_CONTROL) };
  for (const std::string& argument : aArguments) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  const pid_t process = fork();
  if (process == 0) {
    const int log = open(aLog.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execv(LW_CONTROL, arguments.data());
    _exit(127);
  }
  return process;
}

void
ControlCluster::Start(uint32_t aInstance)
{
  mProcesses[aInstance] =
    Run({ "--settings=" + File(aInstance, ".json") }, File(aInstance, ".log"));
}

void
ControlCluster::Signal(uint32_t aInstance, int aSignal)
{
  kill(mProcesses.at(aInstance), aSignal);
  if (aSignal == SIGKILL) {
    waitpid(mProcesses.at(aInstance), nullptr, 0);
    mProcesses.erase(aInstance);
  }
}

int
ControlCluster::WaitForExit(uint32_t aInstance)
{
  int status = 0;
  const bool ended =
    WaitUntil([&] { return waitpid(mProcesses.at(aInstance), &status, WNOHANG) != 0; }, kBound);
  if (!ended) {
    Signal(aInstance, SIGKILL);
    return -1;
  }
  mProcesses.erase(aInstance);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

void
ControlCluster::Wipe(uint32_t aInstance)
{
  std::filesystem::remove_all(File(aInstance, ".data"));
}

int
ControlCluster::Inspect(uint32_t aInstance)
{
  const pid_t process =
    Run({ "--inspect=" + File(aInstance, ".data") }, File(aInstance, ".inspect.log"));
  int status = 0;
  waitpid(process, &status, 0);
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

std::unique_ptr<lw::operator_api::Operator::Stub>
ControlCluster::Connect(uint32_t aInstance) const
{
  grpc::ChannelArguments arguments;
  // A separate connection for each call reaches a restarted instance immediately. A shared one
  // waits for 5 s after a refused connection.
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  return lw::operator_api::Operator::NewStub(grpc::CreateCustomChannel(
    OperatorAddress(aInstance), grpc::InsecureChannelCredentials(), arguments));
}

lw::operator_api::StatusReply
ControlCluster::Status(uint32_t aInstance)
{
  grpc::ClientContext context;
  // Short, because a stopped process does not reply.
  context.set_deadline(std::chrono::system_clock::now() + std::chrono::milliseconds(500));
  lw::operator_api::StatusReply reply;
  const grpc::Status status = Connect(aInstance)->Status(&context, {}, &reply);
  return status.ok() ? reply : lw::operator_api::StatusReply();
}

uint32_t
ControlCluster::Leader()
{
  uint32_t leader = 0;
  uint64_t term = 0;
  for (const auto& [instance, process] : mProcesses) {
    const lw::operator_api::ControlStatus status = Status(instance).control();
    if (status.leads() && status.term() > term) {
      leader = instance;
      term = status.term();
    }
  }
  return leader;
}

uint32_t
ControlCluster::WaitForLeader()
{
  uint32_t leader = 0;
  WaitUntil([&] { return (leader = Leader()) != 0; }, kBound);
  return leader;
}

grpc::Status
ControlCluster::Apply(uint32_t aInstance, const lw::config::Change& aChange, uint64_t& aVersion)
{
  grpc::ClientContext context;
  SetDeadline(context);
  lw::operator_api::ChangeReply reply;
  const grpc::Status status = Connect(aInstance)->Apply(&context, aChange, &reply);
  aVersion = reply.version();
  return status;
}

grpc::Status
ControlCluster::Read(uint32_t aInstance, lw::config::State& aState)
{
  grpc::ClientContext context;
  SetDeadline(context);
  lw::operator_api::ReadReply reply;
  const grpc::Status status = Connect(aInstance)->Read(&context, {}, &reply);
  aState = reply.state();
  return status;
}

grpc::Status
ControlCluster::ApplyUntilKnown(const lw::config::Change& aChange, uint64_t& aVersion)
{
  grpc::Status status(grpc::StatusCode::UNAVAILABLE, "not sent");
  WaitUntil(
    [&] {
      status = Apply(mPreferred, aChange, aVersion);
      if (IsUnknown(status)) {
        mPreferred = mPreferred % mPorts.size() + 1;
      }
      return !IsUnknown(status);
    },
    kBound);
  return status;
}

lw::config::State
ControlCluster::ReadFromLeader()
{
  lw::config::State state;
  WaitUntil(
    [&] {
      const uint32_t leader = Leader();
      return leader != 0 && Read(leader, state).ok();
    },
    kBound);
  return state;
}

std::string
ControlCluster::FeedAddress(uint32_t aInstance) const
{
  return "tcp://" + Loopback(mPorts.at(aInstance).mFeed);
}

std::string
ControlCluster::OperatorAddress(uint32_t aInstance) const
{
  return Loopback(mPorts.at(aInstance).mOperator);
}

bool
ControlCluster::WaitUntil(const std::function<bool()>& aCondition, std::chrono::seconds aBound)
{
  const auto end = std::chrono::steady_clock::now() + aBound;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(kPoll);
  }
  return true;
}

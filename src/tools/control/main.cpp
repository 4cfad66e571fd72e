#include "control/configstore.h"
#include "control/controlsettings.h"
#include "control/logdriver.h"
#include "feedserver.h"
#include "inspect.h"
#include "operatorservice.h"
#include "program/randomseed.h"
#include "program/startup.h"
#include "program/stopsignal.h"

#include "absl/flags/flag.h"

#include <glog/logging.h>

#include <chrono>

ABSL_FLAG(std::string, inspect, "", "data directory to print and verify, without starting");

namespace {

/// Time for pending operator calls to complete during a shutdown.
constexpr std::chrono::seconds kStopTimeout{ 5 };

std::unique_ptr<grpc::Server>
StartOperatorServer(Control::OperatorService& aService, const Base::Endpoint& aListen)
{
  int port = 0;
  grpc::ServerBuilder builder;
  // Makes a second process on the same port fail to start instead of sharing the port.
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  builder.AddListeningPort(Base::ToString(aListen), grpc::InsecureServerCredentials(), &port);
  builder.RegisterService(&aService);
  std::unique_ptr<grpc::Server> server = builder.BuildAndStart();
  if (server == nullptr || port == 0) {
    LOG(ERROR) << "[control] Cannot listen on " << Base::ToString(aListen) << ".";
    return nullptr;
  }
  return server;
}

int
RunControl(const Control::ControlSettings& aSettings)
{
  Program::BlockStopSignals();
  Control::ConfigStore store(aSettings.mReportWindow);
  Control::LogDriver log(aSettings, store, Program::RandomSeed());
  Control::FeedServer feed(store, log, aSettings.mFeedListen);
  Control::OperatorService service(store, log, aSettings.mAvailabilityZones);
  absl::Status status = log.Start();
  if (status.ok()) {
    status = feed.Start();
  }
  if (!status.ok()) {
    LOG(ERROR) << "[control] " << status.message() << ".";
    return Program::kExitFailure;
  }
  const std::unique_ptr<grpc::Server> server =
    StartOperatorServer(service, aSettings.mOperatorListen);
  if (server == nullptr) {
    return Program::kExitFailure;
  }
  LOG(INFO) << "[control] Instance " << aSettings.mInstance << " started.";
  Program::WaitForStopSignal();
  server->Shutdown(std::chrono::system_clock::now() + kStopTimeout);
  log.Stop();
  feed.Stop();
  LOG(INFO) << "[control] Instance " << aSettings.mInstance << " stopped.";
  return Program::kExitOk;
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  Program::ParseCommandLine(
    aArgc,
    aArgv,
    "Runs a control instance, or verifies a data directory with --inspect. Exit codes: 0, 1 "
    "failure, 2 settings.");
  const std::string inspected = absl::GetFlag(FLAGS_inspect);
  if (!inspected.empty()) {
    return Control::InspectDirectory(inspected);
  }
  Control::ControlSettings settings;
  const Program::Startup startup = Program::ReadSettings([&settings](Settings::Reader& aReader) {
    return Control::ReadControlSettings(aReader, settings);
  });
  if (startup.mAction == Program::StartAction::Exit) {
    return startup.mExitCode;
  }
  return RunControl(settings);
}

#include "configstore.h"
#include "controlsettings.h"
#include "feedserver.h"
#include "operatorservice.h"
#include "program/startup.h"
#include "program/stopsignal.h"

#include <glog/logging.h>

#include <chrono>

namespace {

constexpr std::chrono::seconds kStopLimit{ 5 };

int
RunControl(const Control::ControlSettings& aSettings)
{
  Program::BlockStopSignals();
  Control::ConfigStore store;
  Control::OperatorService service(store, aSettings.mOperatorListen);
  int port = 0;
  grpc::ServerBuilder builder;
  builder.AddListeningPort(
    Base::ToString(aSettings.mOperatorListen), grpc::InsecureServerCredentials(), &port);
  builder.RegisterService(&service);
  const std::unique_ptr<grpc::Server> server = builder.BuildAndStart();
  if (server == nullptr || port == 0) {
    LOG(ERROR) << "[control] Cannot listen on " << Base::ToString(aSettings.mOperatorListen) << ".";
    return Program::kExitFailure;
  }
  Control::FeedServer feed(store, aSettings.mFeedListen);
  feed.Start();
  LOG(INFO) << "[control] Instance " << aSettings.mInstance << " serves.";
  Program::WaitForStopSignal();
  server->Shutdown(std::chrono::system_clock::now() + kStopLimit);
  feed.Stop();
  LOG(INFO) << "[control] Instance " << aSettings.mInstance << " stopped.";
  return Program::kExitOk;
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  Program::ParseCommandLine(
    aArgc, aArgv, "Runs a control instance. Exit codes: 0, 1 failure, 2 settings.");
  Control::ControlSettings settings;
  const Program::Startup startup = Program::ReadSettings([&settings](Settings::Reader& aReader) {
    return Control::ReadControlSettings(aReader, settings);
  });
  if (startup.mAction == Program::StartAction::Exit) {
    return startup.mExitCode;
  }
  return RunControl(settings);
}

#include "node.h"
#include "program/startup.h"
#include "program/stopsignal.h"

#include <glog/logging.h>
#include <google/protobuf/stubs/logging.h>

#include <exception>
#include <random>

namespace {

Base::Incarnation
RandomIncarnation()
{
  std::random_device device;
  return Base::Incarnation((static_cast<uint64_t>(device()) << 32U) | device());
}

int
RunEntry(const Entry::EntrySettings& aSettings)
{
  // Prevents protobuf from logging a line for each malformed packet of a caller. They are counted
  // as drops.
  google::protobuf::SetLogHandler(nullptr);
  Program::BlockStopSignals();
  Entry::Node node(aSettings, RandomIncarnation());
  const absl::Status started = node.Start();
  if (!started.ok()) {
    LOG(ERROR) << "[entry] " << started.message() << ".";
    return Program::kExitFailure;
  }
  Program::WaitForStopSignal();
  node.Shutdown();
  return Program::kExitOk;
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  Program::ParseCommandLine(
    aArgc, aArgv, "Runs an entry instance. Exit codes: 0, 1 failure, 2 settings.");
  Entry::EntrySettings settings;
  const Program::Startup startup = Program::ReadSettings(
    [&settings](Settings::Reader& aReader) { return Entry::ReadEntrySettings(aReader, settings); });
  if (startup.mAction == Program::StartAction::Exit) {
    return startup.mExitCode;
  }
  try {
    return RunEntry(settings);
  } catch (const std::exception& error) {
    LOG(ERROR) << "[entry] Cannot start: " << error.what() << ".";
    return Program::kExitFailure;
  }
}

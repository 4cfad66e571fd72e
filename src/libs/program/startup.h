#pragma once

#include "absl/status/status.h"
#include "settings/reader.h"

#include <functional>
#include <string>
#include <vector>

namespace Program {

/// Exit codes that all programs share.
constexpr int kExitOk = 0;
constexpr int kExitFailure = 1;
constexpr int kExitBadSettings = 2;

/// What a program does after its flags and settings are read.
enum class StartAction
{
  Run,
  Exit
};

/// Result of Start.
struct Startup
{
  StartAction mAction = StartAction::Run;
  int mExitCode = kExitOk;
};

/// Parses the command line and sets glog to write to standard error.
/// \param aUsage is the text of --help.
/// \return the positional arguments, without the program's name.
std::vector<std::string>
ParseCommandLine(int aArgc, char** aArgv, const std::string& aUsage);

/// Loads the file of --settings and hands it to aRead. On an error it prints one line to standard
/// error; with --check_settings it prints "settings are valid" when they are. \return whether to
/// run, and the exit code otherwise.
Startup
ReadSettings(const std::function<absl::Status(Settings::Reader&)>& aRead);

} // namespace Program

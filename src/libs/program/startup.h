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

/// Action of a program after its flags and settings have been read.
enum class StartAction
{
  Run,
  Exit
};

/// Result of ReadSettings.
struct Startup
{
  StartAction mAction = StartAction::Run;
  int mExitCode = kExitOk;
};

/// Parses the command line and configures glog to write to standard error.
/// \param aUsage is the text of --help.
/// \return the positional arguments, without the program's name.
std::vector<std::string>
ParseCommandLine(int aArgc, char** aArgv, const std::string& aUsage);

/// Loads the file of --settings and passes it to aRead. Prints an error to standard error; with
/// --check_settings, prints "settings are valid" if there is none.
/// \return whether to run, and the exit code otherwise.
Startup
ReadSettings(const std::function<absl::Status(Settings::Reader&)>& aRead);

} // namespace Program

#pragma once

#include "controlclient.h"
#include "lwctl/explain.h"

#include <string>
#include <vector>

namespace Lwctl {

/// Exit codes of lwctl in addition to those of Program.
constexpr int kExitConflict = 3;
constexpr int kExitUnavailable = 4;
constexpr int kExitNotInForce = 5;

/// Options of the command line.
struct Options
{
  ControlClient mClient;
  bool mJson = false;
  std::string mOperatorId;
  /// 0 selects a random number.
  uint64_t mRequestNumber = 0;
  /// A negative value selects the current version.
  int64_t mBaseVersion = -1;
  /// Entry instance and flow of the command explain, as given on the command line.
  ExplainArguments mExplain;
};

/// Runs one command and prints its result.
/// \param aArguments are the command and its arguments.
/// \return the exit code.
int
RunCommand(const Options& aOptions, const std::vector<std::string>& aArguments);

/// \return the text of --help.
std::string
UsageText();

} // namespace Lwctl

#pragma once

#include "controlclient.h"

#include <string>
#include <vector>

namespace Lwctl {

/// Exit codes of lwctl apart from the shared ones.
constexpr int kExitConflict = 3;
constexpr int kExitUnavailable = 4;
constexpr int kExitNotInForce = 5;

/// Options of the command line.
struct Options
{
  ControlClient mClient;
  bool mJson = false;
  std::string mOperatorId;
  /// 0 lets lwctl choose one from the change.
  uint64_t mRequestNumber = 0;
  /// Negative starts from the current version.
  int64_t mBaseVersion = -1;
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

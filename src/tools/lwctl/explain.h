#pragma once

#include "absl/status/statusor.h"

#include <chrono>
#include <string>

namespace Lwctl {

/// Flags of the command explain, each an ADDRESS:PORT.
struct ExplainArguments
{
  /// Address that serves the metrics of the entry instance.
  std::string mEntry;
  std::string mCaller;
  std::string mService;
};

/// Asks an entry instance where it would send a flow now.
/// \return the explanation as a table or as JSON, InvalidArgument for wrong arguments, or
/// Unavailable if the instance does not explain, with its address and what was expected.
absl::StatusOr<std::string>
Explain(const ExplainArguments& aArguments, bool aAsJson, std::chrono::milliseconds aTimeout);

} // namespace Lwctl

#pragma once

#include "absl/status/statusor.h"
#include "base/endpoint.h"

#include <string>

namespace BurnTool {

/// Reads /metrics of an instance over HTTP.
/// \return the body, or Unavailable if the instance does not respond within 2 s with status 200 and
/// at most 8 MiB.
absl::StatusOr<std::string>
FetchCounters(const Base::Endpoint& aEndpoint);

/// \return the content of a file, or NotFound.
absl::StatusOr<std::string>
ReadFile(const std::string& aPath);

/// Replaces a file by renaming a temporary file over it.
/// \return OK, or Unavailable if the file cannot be written.
absl::Status
ReplaceFile(const std::string& aPath, const std::string& aContent);

} // namespace BurnTool

#pragma once

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"
#include "base/endpoint.h"

#include <chrono>
#include <string>

namespace Program {

struct HttpReply
{
  int mStatus = 0;
  std::string mBody;
};

/// Sends a GET request over HTTP and waits for the response.
/// \param aTarget is the path and query.
/// \return the response whatever its status, or Unavailable if there is none within the timeout or
/// it is longer than 8 MiB.
absl::StatusOr<HttpReply>
HttpGet(const Base::Endpoint& aEndpoint,
        absl::string_view aTarget,
        std::chrono::milliseconds aTimeout);

} // namespace Program

#pragma once

#include "absl/status/statusor.h"
#include "base/endpoint.h"
#include "base/runtimeclock.h"

#include "config.pb.h"
#include "operator.pb.h"

#include <vector>

namespace Lwctl {

/// Control instances to call and the timeout over all attempts.
struct ControlClient
{
  std::vector<Base::Endpoint> mInstances;
  std::chrono::milliseconds mTimeout{ 10000 };
};

/// Sends a change to the leader. Tries the instances in turn until one returns a result or an error
/// that is not retryable. All attempts use the same operator id and request number, so that the
/// change is not applied twice if a reply is lost.
/// \return the version, or the error of the control instance.
absl::StatusOr<uint64_t>
Apply(const ControlClient& aClient, const lw::config::Change& aChange);

absl::StatusOr<lw::config::State>
Read(const ControlClient& aClient);

absl::StatusOr<lw::operator_api::HistoryReply>
History(const ControlClient& aClient, uint64_t aAfterVersion);

absl::StatusOr<lw::operator_api::StatusReply>
Status(const ControlClient& aClient);

} // namespace Lwctl

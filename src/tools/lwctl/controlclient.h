#pragma once

#include "absl/status/statusor.h"
#include "base/endpoint.h"
#include "base/runtimeclock.h"

#include "config.pb.h"
#include "operator.pb.h"

#include <vector>

namespace Lwctl {

/// Control instances to ask, and how long.
struct ControlClient
{
  std::vector<Base::Endpoint> mInstances;
  std::chrono::milliseconds mTimeout{ 10000 };
};

/// Sends a change to the leader. It tries the instances in turn until one answers for good, always
/// with the same operator id and request number, so that a lost answer does not apply the change
/// twice. \return the version, or the control instance's error.
absl::StatusOr<uint64_t>
Apply(const ControlClient& aClient, const lw::config::Change& aChange);

absl::StatusOr<lw::config::State>
Read(const ControlClient& aClient);

absl::StatusOr<lw::operator_api::HistoryReply>
History(const ControlClient& aClient, uint64_t aAfterVersion);

absl::StatusOr<lw::operator_api::StatusReply>
Status(const ControlClient& aClient);

} // namespace Lwctl

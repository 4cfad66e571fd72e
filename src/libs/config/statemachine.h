#pragma once

#include "absl/status/statusor.h"
#include "base/ids.h"

#include "config.pb.h"

namespace Config {

/// Applies a change to the state. Deterministic, because all control instances apply the same
/// changes in the same order.
/// \param aState is modified only if the change is accepted.
/// \param aAcceptedAtMs is the leader's time in milliseconds since 1970, used to expire recorded
/// outcomes.
/// \return the version in which the change was accepted, which is the earlier one for a resend;
/// Aborted if its base version is not the current one; FailedPrecondition if it conflicts with the
/// state; InvalidArgument if a field is invalid.
absl::StatusOr<Base::ConfigVersion>
ApplyChange(lw::config::State& aState,
            const lw::config::Change& aChange,
            uint64_t aAcceptedAtMs = 0);

/// Applies an accepted revision on an instance that receives the configuration feed.
/// \return OK, or OutOfRange if the revision is not the next one.
absl::Status
ApplyRevision(lw::config::State& aState, const lw::config::Revision& aRevision);

} // namespace Config

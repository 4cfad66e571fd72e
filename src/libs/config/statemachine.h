#pragma once

#include "absl/status/statusor.h"
#include "base/ids.h"

#include "config.pb.h"

namespace Config {

/// Applies a change to the state, as every control instance does in the same order.
/// \param aState is changed only if the change is accepted.
/// \return the version in which the change was accepted, now or at its first arrival; Aborted if
/// its base version is not the current one; FailedPrecondition if it clashes with the state;
/// InvalidArgument if a field is wrong.
/// \param aAcceptedAtMs is the leader's time in milliseconds since 1970, by which recorded outcomes
/// expire.
absl::StatusOr<Base::ConfigVersion>
ApplyChange(lw::config::State& aState,
            const lw::config::Change& aChange,
            uint64_t aAcceptedAtMs = 0);

/// Applies an accepted revision at an instance that follows the configuration.
/// \return OK, or OutOfRange if the revision is not the next one.
absl::Status
ApplyRevision(lw::config::State& aState, const lw::config::Revision& aRevision);

} // namespace Config

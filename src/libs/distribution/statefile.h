#pragma once

#include "absl/status/statusor.h"

#include "config.pb.h"

#include <string>

namespace Distribution {

/// Writes the state atomically: a crash at any point leaves either the old or the new file. Syncs
/// the file and its directory before returning.
/// \return OK, or DataLoss with the failed step.
absl::Status
WriteStateFile(const std::string& aDirectory, const lw::config::State& aState);

/// Reads the state written by WriteStateFile().
/// \return the state, NotFound if the file does not exist, or DataLoss if it is damaged.
absl::StatusOr<lw::config::State>
ReadStateFile(const std::string& aDirectory);

} // namespace Distribution

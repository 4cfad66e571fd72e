#pragma once

#include "absl/status/statusor.h"

#include "config.pb.h"

#include <string>

namespace Distribution {

/// Writes the state so that a crash at any point leaves the old file or the new one. Returns after
/// both the file and its directory are synced. \return OK, or DataLoss with the failed step.
absl::Status
WriteStateFile(const std::string& aDirectory, const lw::config::State& aState);

/// Reads the state that WriteStateFile wrote.
/// \return the state, NotFound if there is none, or DataLoss if the file is damaged.
absl::StatusOr<lw::config::State>
ReadStateFile(const std::string& aDirectory);

} // namespace Distribution

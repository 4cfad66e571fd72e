#pragma once

#include "absl/status/status.h"

#include "config.pb.h"

namespace Config {

/// Checks the fields of a change apart from the present state.
/// \return OK, or InvalidArgument that names the path of the wrong field.
absl::Status
ValidateChange(const lw::config::Change& aChange);

} // namespace Config

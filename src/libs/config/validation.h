#pragma once

#include "absl/status/status.h"

#include "config.pb.h"

namespace Config {

/// Operator id of changes that the control instances propose themselves.
constexpr char kControlOperatorId[] = "lw-control";

/// Type of the status payload that holds the path of the wrong field.
constexpr char kFieldPathPayload[] = "lacewingwalk/field-path";

/// Checks a complete configuration.
/// \return OK, or InvalidArgument that names the path of the wrong field.
absl::Status
ValidateDeclaration(const lw::config::Declaration& aDeclaration);

/// Checks the fields of a change apart from the present state.
/// \return OK, or InvalidArgument that names the path of the wrong field.
absl::Status
ValidateChange(const lw::config::Change& aChange);

} // namespace Config

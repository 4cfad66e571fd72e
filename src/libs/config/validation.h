#pragma once

#include "absl/status/status.h"

#include "config.pb.h"

namespace Config {

/// Operator id of changes that the control instances propose themselves.
constexpr char kControlOperatorId[] = "lw-control";

/// Type URL of the status payload that contains the path of the invalid field.
constexpr char kFieldPathPayload[] = "lacewingwalk/field-path";

/// Validates a complete configuration.
/// \return OK, or InvalidArgument with the path of the invalid field.
absl::Status
ValidateDeclaration(const lw::config::Declaration& aDeclaration);

/// Validates the fields of a change independently of the current state.
/// \return OK, or InvalidArgument with the path of the invalid field.
absl::Status
ValidateChange(const lw::config::Change& aChange);

} // namespace Config

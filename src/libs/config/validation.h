#pragma once

#include "absl/status/status.h"

#include "config.pb.h"

#include <optional>
#include <set>
#include <string>

namespace Config {

/// Operator id of changes that the control instances propose themselves.
constexpr char kControlOperatorId[] = "lw-control";

/// Type URL of the status payload that contains the path of the invalid field.
constexpr char kFieldPathPayload[] = "lacewingwalk/field-path";

/// Validates a complete configuration.
/// \return OK, or InvalidArgument with the path of the invalid field.
absl::Status
ValidateDeclaration(const lw::config::Declaration& aDeclaration);

/// Names of the availability zones of a deployment, or std::nullopt if every name is accepted.
using KnownAvailabilityZones = std::optional<std::set<std::string>>;

/// \return OK, or InvalidArgument if the change is about an availability zone that is not known.
absl::Status
CheckAvailabilityZone(const KnownAvailabilityZones& aKnown,
                      const lw::config::ZoneEvacuation& aEvacuation);

/// Validates the fields of a change independently of the current state.
/// \return OK, or InvalidArgument with the path of the invalid field.
absl::Status
ValidateChange(const lw::config::Change& aChange);

} // namespace Config

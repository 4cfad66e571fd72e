#pragma once

#include "absl/status/statusor.h"
#include "absl/strings/string_view.h"

#include "terms.pb.h"

#include <string>

namespace Terms {

/// Adds an authentication code to a record, so that clients can store it but cannot modify it.
/// \param aKey is the region key.
std::string
SealRecord(absl::string_view aKey, const lw::terms::Record& aRecord);

/// Verifies and decodes a sealed record.
/// \return the record, or InvalidArgument if it is damaged or was sealed with another key.
absl::StatusOr<lw::terms::Record>
OpenRecord(absl::string_view aKey, absl::string_view aSealed);

} // namespace Terms

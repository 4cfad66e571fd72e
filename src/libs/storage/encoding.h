#pragma once

#include "absl/strings/string_view.h"

#include <cstdint>
#include <string>

namespace Storage::Internal {

/// CRC-32C (Castagnoli).
uint32_t
Crc32c(absl::string_view aBytes);

void
PutFixed32(std::string& aBytes, uint32_t aValue);

void
PutFixed64(std::string& aBytes, uint64_t aValue);

/// Appends the checksum of all that aBytes holds.
void
PutChecksum(std::string& aBytes);

/// \param aOffset must leave 4 bytes.
uint32_t
Fixed32(absl::string_view aBytes, size_t aOffset);

/// \param aOffset must leave 8 bytes.
uint64_t
Fixed64(absl::string_view aBytes, size_t aOffset);

/// \return true if the last 4 bytes are the checksum of the others.
bool
HasValidChecksum(absl::string_view aBytes);

} // namespace Storage::Internal

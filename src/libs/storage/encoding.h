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

/// Appends the checksum of aBytes to aBytes.
void
PutChecksum(std::string& aBytes);

/// Reads a little-endian integer. At least 4 bytes must follow aOffset.
uint32_t
ReadFixed32(absl::string_view aBytes, size_t aOffset);

/// Reads a little-endian integer. At least 8 bytes must follow aOffset.
uint64_t
ReadFixed64(absl::string_view aBytes, size_t aOffset);

/// \return true if the last 4 bytes are the checksum of the preceding bytes.
bool
HasValidChecksum(absl::string_view aBytes);

} // namespace Storage::Internal

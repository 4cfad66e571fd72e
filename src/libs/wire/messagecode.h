#pragma once

#include "absl/strings/string_view.h"

#include <string>

namespace Wire {

/// Length in bytes of a message authentication code. 128 bits are enough to prevent forgery and
/// keep tickets and records small.
constexpr size_t kMessageCodeLength = 16;

/// \return a truncated HMAC-SHA256 of the message.
std::string
MessageCode(absl::string_view aKey, absl::string_view aMessage);

/// Compares in constant time, so that the timing does not reveal how many bytes of a forged code
/// match.
/// \return true if aCode is the code of the message.
bool
IsMessageCode(absl::string_view aKey, absl::string_view aMessage, absl::string_view aCode);

} // namespace Wire

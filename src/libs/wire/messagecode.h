#pragma once

#include "absl/strings/string_view.h"

#include <string>

namespace Wire {

/// Length in bytes of a message authentication code. 128 bits are enough against forgery and keep
/// tickets and records small.
constexpr size_t kMessageCodeLength = 16;

/// \return a truncated HMAC-SHA256 of the message.
std::string
MessageCode(absl::string_view aKey, absl::string_view aMessage);

/// Compares in constant time, so that the time does not tell how much of a forged code is right.
bool
IsMessageCode(absl::string_view aKey, absl::string_view aMessage, absl::string_view aCode);

} // namespace Wire

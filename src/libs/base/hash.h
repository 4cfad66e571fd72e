#pragma once

#include "absl/strings/string_view.h"
#include <cstdint>
#include <initializer_list>

namespace Base {

/// XXH64 hash, identical on all instances and across restarts.
/// \param aValues are hashed in order.
uint64_t
StableHash(std::initializer_list<uint64_t> aValues);

/// \copydoc StableHash(std::initializer_list<uint64_t>)
uint64_t
StableHash(absl::string_view aBytes);

} // namespace Base

#pragma once

#include <cstdint>

namespace Program {

/// \return 64 bits that differ at each start of a program.
uint64_t
RandomSeed();

} // namespace Program

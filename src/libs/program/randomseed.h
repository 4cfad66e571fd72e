#pragma once

#include <cstdint>

namespace Program {

/// \return 64 bits from the system's random device, different at each start of a program.
uint64_t
RandomSeed();

} // namespace Program

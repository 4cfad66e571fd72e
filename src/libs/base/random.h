#pragma once

#include <cstdint>

namespace Base {

/// State of a SplitMix64 generator. The same seed gives the same sequence on every machine, so that
/// tests and measurements are reproducible. Not cryptographically secure.
struct RandomSource
{
  uint64_t mState = 0;
};

/// \return the next 64 random bits.
uint64_t
NextRandom(RandomSource& aSource);

/// \param aBound must be larger than 0.
/// \return a number from 0 to aBound - 1.
uint64_t
NextBelow(RandomSource& aSource, uint64_t aBound);

/// \return a number in [0, 1).
double
NextUnit(RandomSource& aSource);

} // namespace Base

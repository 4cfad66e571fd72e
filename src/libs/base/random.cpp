#include "base/random.h"

namespace Base {

uint64_t
NextRandom(RandomSource& aSource)
{
  aSource.mState += 0x9E3779B97F4A7C15ULL;
  uint64_t value = aSource.mState;
  value = (value ^ (value >> 30U)) * 0xBF58476D1CE4E5B9ULL;
  value = (value ^ (value >> 27U)) * 0x94D049BB133111EBULL;
  return value ^ (value >> 31U);
}

uint64_t
NextBelow(RandomSource& aSource, uint64_t aBound)
{
  const auto product = static_cast<unsigned __int128>(NextRandom(aSource)) * aBound;
  return static_cast<uint64_t>(product >> 64U);
}

double
NextUnit(RandomSource& aSource)
{
  constexpr double kTwoToMinus53 = 1.0 / 9007199254740992.0;
  return static_cast<double>(NextRandom(aSource) >> 11U) * kTwoToMinus53;
}

} // namespace Base

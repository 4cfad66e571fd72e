#include "base/random.h"

#include <CppUTest/TestHarness.h>

TEST_GROUP(Random){};

// Guards against a generator whose sequence depends on anything but its seed.
TEST(Random, EqualSeedsGiveEqualSequences)
{
  Base::RandomSource first{ 7 };
  Base::RandomSource second{ 7 };
  for (int i = 0; i < 1000; ++i) {
    CHECK_TRUE(Base::NextRandom(first) == Base::NextRandom(second));
  }
}

// Guards against an off-by-one error at the bound and values that never occur.
TEST(Random, StaysBelowItsBound)
{
  constexpr uint64_t kBound = 10;
  Base::RandomSource source{ 1 };
  int counts[kBound] = {};
  for (int i = 0; i < 10000; ++i) {
    const uint64_t value = Base::NextBelow(source, kBound);
    CHECK_TRUE(value < kBound);
    ++counts[value];
  }
  for (int count : counts) {
    CHECK_TRUE(count > 800);
  }
}

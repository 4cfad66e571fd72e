#include "base/random.h"
#include "terms/sealedrecord.h"

#include <CppUTest/TestHarness.h>

namespace {

constexpr const char* kKey = "0123456789abcdef";

std::string
Sealed()
{
  lw::terms::Record record;
  record.set_client("partner");
  record.set_service("tag");
  record.set_level(3);
  return Terms::SealRecord(kKey, record);
}

} // namespace

TEST_GROUP(SealedRecord){};

TEST(SealedRecord, OpensWhatItSealed)
{
  const absl::StatusOr<lw::terms::Record> record = Terms::OpenRecord(kKey, Sealed());
  CHECK_TRUE(record.ok());
  LONGS_EQUAL(3, record->level());
}

// Guards against terms that were forged by a client.
TEST(SealedRecord, RefusesAnotherKeyAndEveryFlippedBit)
{
  CHECK_FALSE(Terms::OpenRecord("another key 1234", Sealed()).ok());
  const std::string valid = Sealed();
  for (size_t bit = 0; bit < valid.size() * 8; ++bit) {
    std::string damaged = valid;
    damaged[bit / 8] = static_cast<char>(damaged[bit / 8] ^ (1 << (bit % 8)));
    CHECK_FALSE(Terms::OpenRecord(kKey, damaged).ok());
  }
}

// Guards against a crash on truncated or random records.
TEST(SealedRecord, SurvivesDamagedInput)
{
  Base::RandomSource random{ 20261204 };
  const std::string valid = Sealed();
  for (int i = 0; i < 10000; ++i) {
    std::string damaged = valid.substr(0, Base::NextBelow(random, valid.size()));
    damaged.push_back(static_cast<char>(Base::NextRandom(random)));
    // One of 256 random bytes restores the last truncated byte.
    CHECK_TRUE(Terms::OpenRecord(kKey, damaged).ok() == (damaged == valid));
  }
}

#include "coldzone.h"

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <string>

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(ColdZone){};

// Guards against two instances that send to a cold upstream at the same time: when an instance
// joins, dies, is cut off or returns, and while load reports are lost. Guards as well against rate
// limits that are not used because no instance considers itself the holder.
TEST(ColdZone, RateHoldsInEveryWindowWhileInstancesChange)
{
  ColdZone zone(20261206);
  zone.RunFor(seconds(5));
  for (size_t round = 0; round < 4; ++round) {
    zone.Join();
    zone.Join();
    zone.CutOff(round);
    zone.CutOff(10 + round);
    zone.RunFor(seconds(2));
    zone.Kill(20 + round);
    zone.RunFor(milliseconds(4370));
    zone.Heal(round);
    zone.Heal(10 + round);
    zone.RunFor(milliseconds(630));
  }
  zone.RunFor(seconds(2));
  const std::string text = "most in a window: " + std::to_string(zone.MostInAnyWindow()) +
                           ", used: " + std::to_string(zone.UsedFraction(seconds(5)));
  CHECK_TRUE_TEXT(static_cast<double>(zone.MostInAnyWindow()) <= ColdZone::kRatePerSecond,
                  text.c_str());
  CHECK_TRUE_TEXT(zone.UsedFraction(seconds(5)) >= 0.5, text.c_str());
}

// Guards against two holders that do not hear each other although both hear most of their peers,
// and against a holder that goes on because it hears its peers, but is not heard by them.
TEST(ColdZone, RateHoldsIfReportsAreLostInOneDirectionOrBetweenGroups)
{
  ColdZone zone(20261207);
  zone.RunFor(seconds(6));
  constexpr size_t kSilent = 4;
  constexpr size_t kGroup = 10;
  for (size_t sender = 0; sender < kSilent; ++sender) {
    for (size_t receiver = 0; receiver < ColdZone::kInstancesPerZone; ++receiver) {
      zone.BlockReports(sender, receiver);
    }
  }
  for (size_t left = kSilent; left < kSilent + kGroup; ++left) {
    for (size_t right = kSilent + kGroup; right < kSilent + 2 * kGroup; ++right) {
      zone.BlockReports(left, right);
      zone.BlockReports(right, left);
    }
  }
  zone.RunFor(seconds(10));
  zone.UnblockReports();
  zone.RunFor(seconds(6));
  const std::string text = "most in a window: " + std::to_string(zone.MostInAnyWindow()) +
                           ", used: " + std::to_string(zone.UsedFraction(seconds(5)));
  CHECK_TRUE_TEXT(static_cast<double>(zone.MostInAnyWindow()) <= ColdZone::kRatePerSecond,
                  text.c_str());
  CHECK_TRUE_TEXT(zone.UsedFraction(seconds(5)) >= 0.5, text.c_str());
}

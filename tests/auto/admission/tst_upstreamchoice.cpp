#include "admission/upstreamchoice.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;

namespace {

const Base::TimePoint kStart(100s);

std::vector<int>
PlaceFlows(std::vector<Admission::UpstreamCandidate>& aCandidates, int aFlows, Base::TimePoint aNow)
{
  Base::RandomSource random{ 3 };
  std::vector<int> counts(aCandidates.size());
  for (int i = 0; i < aFlows; ++i) {
    const auto chosen = Admission::ChooseUpstream(aCandidates, aNow, random);
    CHECK_TRUE(chosen.has_value());
    Admission::AddPlacement(aCandidates[*chosen].mPlaced, aNow);
    ++counts[*chosen];
  }
  return counts;
}

std::vector<Admission::AvailabilityZoneSummary>
ThreeZones()
{
  return { { "carsi-hall", 7, 5, true },
           { "liman-depot", 7, 5, true },
           { "kutuphane-annex", 6, 4, true } };
}

} // namespace

TEST_GROUP(UpstreamChoice){};

// Guards against an imbalance that grows with the number of flows, and against ignoring the number
// of slots.
TEST(UpstreamChoice, BalancesFlowsBySlots)
{
  std::vector<Admission::UpstreamCandidate> candidates(4);
  candidates[0].mSlots = 2;
  const std::vector<int> counts = PlaceFlows(candidates, 500, kStart);
  CHECK_TRUE(counts[0] >= 198 && counts[0] <= 202);
  for (size_t i = 1; i < counts.size(); ++i) {
    CHECK_TRUE(counts[i] >= 98 && counts[i] <= 102);
  }
}

// Guards against a cold upstream that gets all new flows because no work is placed on it yet.
TEST(UpstreamChoice, RampsAColdUpstream)
{
  std::vector<Admission::UpstreamCandidate> candidates(2);
  candidates[0].mSlots = 3;
  candidates[1].mSlots = 3;
  candidates[1].mColdSince = kStart;
  const std::vector<int> counts = PlaceFlows(candidates, 400, kStart);
  CHECK_TRUE(counts[1] >= 95 && counts[1] <= 105);
}

// Guards against placing new flows on a draining or failing upstream, and against finding no
// upstream when all are ejected.
TEST(UpstreamChoice, AvoidsDrainingAndEjectedUpstreams)
{
  Base::RandomSource random{ 1 };
  std::vector<Admission::UpstreamCandidate> candidates(3);
  candidates[0].mTakesNewWork = false;
  candidates[1].mEjected = true;
  candidates[2].mPlaced = { 1000, kStart };
  LONGS_EQUAL(2, *Admission::ChooseUpstream(candidates, kStart, random));
  candidates[2].mTakesNewWork = false;
  LONGS_EQUAL(1, *Admission::ChooseUpstream(candidates, kStart, random));
  candidates[1].mTakesNewWork = false;
  CHECK_FALSE(Admission::ChooseUpstream(candidates, kStart, random).has_value());
}

// Guards against sending flows to other availability zones while the local one has capacity.
TEST(UpstreamChoice, StaysInTheOwnAvailabilityZone)
{
  Base::RandomSource random{ 1 };
  const auto zones = ThreeZones();
  for (int i = 0; i < 1000; ++i) {
    LONGS_EQUAL(1, *Admission::ChooseAvailabilityZone(zones, 1, random));
  }
}

// Guards against redirecting flows to an unreachable availability zone, or to only one of several.
TEST(UpstreamChoice, SpillsOverByUpstreams)
{
  Base::RandomSource random{ 1 };
  auto zones = ThreeZones();
  zones[0].mUpstreams = 0;
  int second = 0;
  for (int i = 0; i < 900; ++i) {
    const size_t chosen = *Admission::ChooseAvailabilityZone(zones, 0, random);
    CHECK_TRUE(chosen != 0);
    second += chosen == 1 ? 1 : 0;
  }
  CHECK_TRUE(second > 440 && second < 560);
  zones[1].mReachable = false;
  LONGS_EQUAL(2, *Admission::ChooseAvailabilityZone(zones, 0, random));
  zones[2].mReachable = false;
  CHECK_FALSE(Admission::ChooseAvailabilityZone(zones, 0, random).has_value());
}

// Guards against overloading the only upstream of an availability zone with twice the work of
// others.
TEST(UpstreamChoice, SpillsOverWhatExceedsTheOwnUpstreams)
{
  Base::RandomSource random{ 1 };
  std::vector<Admission::AvailabilityZoneSummary> zones = ThreeZones();
  zones[0].mUpstreams = 2;
  zones[1].mUpstreams = 1;
  zones[2].mUpstreams = 1;
  std::vector<int> counts(zones.size());
  for (size_t own = 0; own < zones.size(); ++own) {
    for (uint32_t i = 0; i < 1000 * zones[own].mInstances; ++i) {
      ++counts[*Admission::ChooseAvailabilityZone(zones, own, random)];
    }
  }
  CHECK_TRUE(counts[0] > 9700 && counts[0] < 10300);
  CHECK_TRUE(counts[1] > 4800 && counts[1] < 5200);
  zones[0].mReachable = false;
  for (int i = 0; i < 1000; ++i) {
    CHECK_TRUE(*Admission::ChooseAvailabilityZone(zones, 1, random) != 0);
  }
}

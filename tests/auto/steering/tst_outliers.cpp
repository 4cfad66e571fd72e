#include "outlierzone.h"

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <vector>

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr uint64_t kSeeds = 3;
/// 12% of the upstreams, as in the observed fault.
constexpr size_t kFaulty = 5;

void
Print(const char* aName, uint64_t aSeed, const OutlierZone& aZone)
{
  UT_PRINT(StringFromFormat("%s, seed %d: %d requests, %d lost, %d of them not idempotent, "
                            "%d ejections at an instance, at most %d at a time",
                            aName,
                            static_cast<int>(aSeed),
                            static_cast<int>(aZone.mRequests),
                            static_cast<int>(aZone.mLost),
                            static_cast<int>(aZone.mLostNonIdempotent),
                            static_cast<int>(aZone.mEjections),
                            static_cast<int>(aZone.mMostEjected)));
}

struct Totals
{
  size_t mLost = 0;
  size_t mLostNonIdempotent = 0;
  size_t mEjections = 0;
};

Totals
RunAll(const char* aName, const OutlierBehavior& aBehavior)
{
  Totals totals;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    OutlierZone zone(seed, aBehavior);
    zone.RunFor(seconds(13));
    Print(aName, seed, zone);
    totals.mLost += zone.mLost;
    totals.mLostNonIdempotent += zone.mLostNonIdempotent;
    totals.mEjections += zone.mEjections;
    LONGS_EQUAL(0, zone.mUnserved);
  }
  return totals;
}

} // namespace

TEST_GROUP(OutlierZones){};

// Guards against lost requests that callers cannot repeat while upstreams complete handshakes but
// reset each flow at its first request. Until the ejection, an upstream gets requests for 4 mean
// durations, two report intervals and two checks, and two more have to be lost.
TEST(OutlierZones, UpstreamsThatAnswerNothingGetFewRequests)
{
  OutlierBehavior behavior;
  behavior.mFaulty = kFaulty;
  const Totals with = RunAll("no answers", behavior);
  behavior.mHasEjection = false;
  const Totals without = RunAll("no answers, without ejection", behavior);
  constexpr double kMeanSeconds = 0.039;
  constexpr double kReportSeconds = 0.126;
  // Unanswered requests and outliers are looked for every 100 ms.
  constexpr double kCheckSeconds = 0.1;
  constexpr double kRequestsPerUpstream = OutlierZone::kRequestsPerSecond / 40;
  constexpr double kLostPerUpstream =
    kRequestsPerUpstream * (4 * kMeanSeconds + 2 * kReportSeconds + 2 * kCheckSeconds) + 2;
  constexpr double kBound = kSeeds * kFaulty * OutlierZone::kNonIdempotent * kLostPerUpstream;
  CHECK_TRUE(static_cast<double>(with.mLostNonIdempotent) <= kBound);
  CHECK_TRUE(static_cast<double>(without.mLostNonIdempotent) > kBound);
  CHECK_TRUE(with.mLost * 2 < without.mLost);
}

// Guards against upstreams that stay in use because they answer a part of their requests.
TEST(OutlierZones, UpstreamsThatAnswerAPartGetFewerRequests)
{
  OutlierBehavior behavior;
  behavior.mFaulty = kFaulty;
  behavior.mUnanswered = 0.45;
  const Totals with = RunAll("55% answered", behavior);
  behavior.mHasEjection = false;
  const Totals without = RunAll("55% answered, without ejection", behavior);
  CHECK_TRUE(with.mLostNonIdempotent * 2 < without.mLostNonIdempotent);
  CHECK_TRUE(with.mLost * 3 < without.mLost * 2);
}

// Guards against the ejection of good upstreams: without a fault, if all upstreams become slow at
// once, and if the answers to 5% of all requests are not seen.
TEST(OutlierZones, NoUpstreamIsEjectedWithoutAFaultOfItsOwn)
{
  LONGS_EQUAL(0, RunAll("0.2% not seen", {}).mEjections);
  OutlierBehavior slow;
  slow.mSlowdown = 5;
  LONGS_EQUAL(0, RunAll("all slow", slow).mEjections);
  OutlierBehavior lossy;
  lossy.mUnseen = 0.05;
  LONGS_EQUAL(0, RunAll("5% not seen", lossy).mEjections);
}

// Guards against ejections that leave the others with more load than they have slots for.
TEST(OutlierZones, AtMostAThirdIsEjected)
{
  OutlierBehavior behavior;
  for (const size_t faulty : { 9, 14, 20 }) {
    behavior.mFaulty = faulty;
    OutlierZone zone(1, behavior);
    zone.RunFor(seconds(9));
    Print("many faulty", faulty, zone);
    CHECK_TRUE(zone.mMostEjected <= 13);
  }
}

// Guards against upstreams that get no flows long after they have recovered. The fault ends during
// the first ejection or the second.
TEST(OutlierZones, RecoveredUpstreamsGetTheirShareBack)
{
  OutlierBehavior behavior;
  behavior.mFaulty = kFaulty;
  behavior.mFaultUntil = milliseconds(4500);
  constexpr milliseconds kAfterTwoEjections{ 8000 };
  double share = 0;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    OutlierZone zone(seed, behavior);
    zone.RunFor(seconds(11));
    CHECK_TRUE(zone.mEjections > 0);
    for (size_t upstream = 0; upstream < kFaulty; ++upstream) {
      share += zone.ShareSince(upstream, kAfterTwoEjections) / kSeeds;
    }
  }
  UT_PRINT(StringFromFormat("share of the recovered upstreams: %f", share));
  CHECK_TRUE(share >= 0.75 * kFaulty / behavior.mUpstreams);
}

// Guards against an instance that takes the requests lost by a restart or a freeze for a fault of
// the upstreams.
TEST(OutlierZones, RestartedAndFrozenInstancesEjectNoUpstream)
{
  OutlierZone zone(1, {});
  for (size_t round = 0; round < 8; ++round) {
    zone.RunFor(seconds(1));
    zone.Restart(round);
    zone.Freeze(10 + round, milliseconds(1500));
    zone.Kill(20 + round);
  }
  zone.RunFor(seconds(3));
  LONGS_EQUAL(0, zone.mEjections);
}

// Guards against an instance that has just started and cannot use what its peers report.
TEST(OutlierZones, RestartedInstanceLearnsOfAFault)
{
  OutlierBehavior behavior;
  behavior.mFaulty = kFaulty;
  OutlierZone zone(1, behavior);
  zone.RunFor(milliseconds(3200));
  zone.Restart(0);
  zone.RunFor(milliseconds(2000));
  LONGS_EQUAL(kFaulty, Steering::CountEjected(zone.mEntries[0].mOutliers));
}

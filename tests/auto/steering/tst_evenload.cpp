#include "fixture.h"
#include "measure/evenloadsimulation.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <map>
#include <vector>

using Measure::EvenMethod;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Steering::PacketKind;

namespace {

/// The specification allows the busiest upstream a tenth more than the mean
/// (docs/design/hard-load.md, section 5). The same tolerance applies to the time that violates the
/// bound.
constexpr double kTolerance = 0.1;
constexpr uint64_t kSeeds = 3;

struct Violations
{
  /// Sums over the runs of the shares of time with a long wait beside an idle upstream.
  double mShares = 0;
  double mBusiest = 0;
};

/// Runs the zone of the specification: 42 instances, 40 upstreams, reports up to 126 ms old, with
/// even arrivals and with bursts in which all instances choose at once.
Violations
Run(EvenMethod aMethod)
{
  Violations violations;
  for (const double load : { 0.4, 0.7 }) {
    for (const double burstShare : { 0.0, 0.3 }) {
      for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
        Measure::EvenLoadCase run;
        run.mMethod = aMethod;
        run.mLoad = load;
        run.mBurstShare = burstShare;
        run.mSeed = seed;
        run.mDuration = seconds(20);
        const Measure::EvenLoadFigures figures = Measure::RunEvenLoad(run);
        violations.mShares += figures.mLongWaitWhileIdle;
        violations.mBusiest = std::max(violations.mBusiest, figures.mBusiest);
      }
    }
  }
  return violations;
}

} // namespace

TEST_GROUP(EvenLoad), SteeringFixture
{
  /// Makes this instance one of several that report their load.
  void JoinZone(uint32_t aInstance, uint32_t aInstances)
  {
    mState.mInstance = aInstance;
    mState.mInstances = aInstances;
    mState.mRequests["desk"].mMeanDuration = milliseconds(30);
    for (uint32_t id = 1; id <= aInstances; ++id) {
      lw::fleet::LoadReport report;
      report.set_instance(id);
      report.set_sequence(++mSequence);
      if (id != aInstance) {
        Steering::ApplyPeerReport(mState, report, mNow);
      }
    }
  }

  std::map<uint64_t, int> Open(uint16_t aFirstPort, int aCount)
  {
    std::map<uint64_t, int> opened;
    for (int i = 0; i < aCount; ++i) {
      const auto port = static_cast<uint16_t>(aFirstPort + i);
      ++opened[Send(port, PacketKind::Opening).mUpstream.mValue];
    }
    return opened;
  }

  /// \return the number of choices of each candidate for each unit of weight, over the mean.
  std::vector<double> ChoicesPerWeight(std::vector<Steering::SubsetCandidate> aCandidates,
                                       size_t aInstances)
  {
    // Enough that the random deviation of one of 40 shares is about 2%.
    constexpr size_t kChoices = 100000;
    double weights = 0;
    for (const Steering::SubsetCandidate& candidate : aCandidates) {
      weights += candidate.mWeight;
    }
    Base::RandomSource random{ 1 };
    std::vector<double> shares(aCandidates.size());
    for (size_t rank = 0; rank < aInstances; ++rank) {
      for (Steering::SubsetCandidate& candidate : aCandidates) {
        candidate.mLastChosenAt = mNow;
      }
      for (size_t i = 0; i < kChoices / aInstances; ++i) {
        mNow += milliseconds(1);
        const size_t index =
          *Steering::ChooseFromSubset(aCandidates, { rank, aInstances }, mNow, random);
        aCandidates[index].mLastChosenAt = mNow;
        shares[index] += weights / aCandidates[index].mWeight / kChoices;
      }
    }
    return shares;
  }

  uint64_t mSequence = 0;
};

// Guards against flows that wait at one upstream while an equal one is idle for longer than the age
// of the reports, because many instances choose by the same stale reports. The specification allows
// no such time. The choice without a subset meets that neither, and exceeds the limit here 10
// times.
TEST(EvenLoad, FlowsDoNotWaitBesideUpstreamsThatStayIdle)
{
  const Violations before = Run(EvenMethod::Sampled);
  const Violations now = Run(EvenMethod::Product);
  CHECK_TRUE(before.mShares > 0);
  CHECK_COMPARE(now.mShares, <=, kTolerance * before.mShares);
  CHECK_COMPARE(now.mBusiest, <=, 1 + kTolerance);
}

// Guards against equal upstreams that get more than their share because the subsets of the
// instances overlap unevenly, for any number of instances and upstreams.
TEST(EvenLoad, SubsetsDivideEqualUpstreamsEvenly)
{
  for (const size_t upstreams : { 10U, 13U, 40U }) {
    for (const size_t instances : { 3U, 7U, 10U, 27U, 42U, 126U }) {
      const std::vector<Steering::SubsetCandidate> candidates(upstreams);
      for (const double share : ChoicesPerWeight(candidates, instances)) {
        CHECK_COMPARE(std::abs(share - 1), <=, kTolerance);
      }
    }
  }
}

// Guards against upstreams of more slots that get no more flows than others.
TEST(EvenLoad, PartsFollowTheNumberOfSlots)
{
  for (const size_t instances : { 3U, 7U, 10U, 27U, 42U, 126U }) {
    std::vector<Steering::SubsetCandidate> candidates(40);
    for (size_t i = 0; i < candidates.size(); i += 2) {
      candidates[i].mWeight = 2;
    }
    const std::vector<double> shares = ChoicesPerWeight(candidates, instances);
    double larger = 0;
    for (size_t i = 0; i < shares.size(); i += 2) {
      larger += shares[i] / (static_cast<double>(shares.size()) / 2);
    }
    CHECK_COMPARE(std::abs(larger - 1), <=, kTolerance);
  }
}

// Guards against a subset that moves to other upstreams when an instance joins.
TEST(EvenLoad, SubsetIsStableWhenAnInstanceJoins)
{
  constexpr size_t kInstances = 10;
  std::vector<Steering::SubsetCandidate> candidates(40);
  const double share = static_cast<double>(candidates.size()) / kInstances;
  Base::RandomSource random{ 1 };
  for (size_t rank = 0; rank < kInstances; ++rank) {
    const double middle = (static_cast<double>(rank) + 0.5) * share;
    for (const size_t joined : { rank, rank + 1 }) {
      const auto index =
        Steering::ChooseFromSubset(candidates, { joined, kInstances + 1 }, mNow, random);
      const double distance = std::abs(static_cast<double>(*index) + 0.5 - middle);
      // Half of the subset, one share, one upstream, and the ring that joins the ends.
      const double limit = Steering::kSubsetShares / 2 * share + share + 1;
      CHECK_TRUE(distance <= limit || distance >= candidates.size() - limit);
    }
  }
}

// Guards against a subset that is used beyond its slots, and against other upstreams that stay
// idle.
TEST(EvenLoad, OtherUpstreamsAreUsedWhenTheSubsetIsFull)
{
  Declare(1);
  for (uint64_t id = 1; id <= 40; ++id) {
    AddUpstream(id, "a");
  }
  JoinZone(21, 40);
  const auto first = Open(1, 4);
  for (const auto& [id, count] : first) {
    CHECK_TRUE(id >= 20 && id <= 22);
    CHECK_TRUE(count <= 2);
  }
  CHECK_COMPARE(Open(10, 2).size() + first.size(), >, 3);
}

// Guards against a subset that ignores that an upstream drains, does not answer, or was tried
// before.
TEST(EvenLoad, UnusableUpstreamsAreNotInTheSubset)
{
  mSlots = 20;
  Declare(1);
  for (uint64_t id = 1; id <= 6; ++id) {
    AddUpstream(id, "a", id == 4 ? lw::fleet::DRAINING : lw::fleet::READY);
  }
  JoinZone(2, 3);
  mState.mLoads.mByTag[Tag(3)].mSuspendedUntil = mNow + seconds(60);
  const uint64_t first = Send(1, PacketKind::Opening).mUpstream.mValue;
  mNow += milliseconds(200);
  CHECK_TRUE(Send(1, PacketKind::Opening).mUpstream.mValue != first);
  const auto opened = Open(10, 30);
  LONGS_EQUAL(0, opened.count(3));
  LONGS_EQUAL(0, opened.count(4));
}

// Guards against an instance without peers, or with a single one, that uses only a subset.
TEST(EvenLoad, FewInstancesUseTheWholeZone)
{
  mSlots = 20;
  Declare(1);
  for (uint64_t id = 1; id <= 6; ++id) {
    AddUpstream(id, "a");
  }
  JoinZone(1, 2);
  CHECK_FALSE(Steering::HasSubset(Steering::PositionOf(mState.mReports, mState.mInstance), 0));
  LONGS_EQUAL(6, Open(1, 60).size());
}

// Guards against a subset that is used although the reports describe the present load of all
// upstreams: 30 s requests are in progress long after their report.
TEST(EvenLoad, RecentReportsAreUsedForTheWholeZone)
{
  mSlots = 20;
  Declare(1);
  for (uint64_t id = 1; id <= 6; ++id) {
    AddUpstream(id, "a");
  }
  JoinZone(1, 6);
  mState.mRequests["desk"].mMeanDuration = seconds(30);
  LONGS_EQUAL(6, Open(1, 60).size());
}

// Guards against reports that count in full although most of the reported flows have ended.
TEST(EvenLoad, ReportedFlowsCountLessWithTheirAge)
{
  DOUBLES_EQUAL(1, Steering::ReportWeight(milliseconds(126), milliseconds(0)), 0);
  DOUBLES_EQUAL(std::exp(-1), Steering::ReportWeight(milliseconds(60), milliseconds(30)), 1e-9);
}

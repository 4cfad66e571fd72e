#include "measure/fakecluster.h"

#include <CppUTest/TestHarness.h>

#include <iostream>

using namespace std::chrono_literals;
using Measure::Cluster;
using Measure::ClusterOptions;

namespace {

constexpr uint64_t kSeeds = 3;

ClusterOptions
SmallOptions(uint64_t aSeed)
{
  ClusterOptions options;
  options.mSeed = aSeed;
  options.mInstances = 6;
  options.mUpstreams = 5;
  options.mFlows = 400;
  return options;
}

const Base::Endpoint&
FirstUpstream(const Cluster& aCluster)
{
  return aCluster.mUpstreams.front().mEndpoint;
}

} // namespace

TEST_GROUP(Cluster)
{
  // Runs an event after the start, with new flows around it, and checks that no flow broke.
  void CheckNoBrokenFlow(const std::function<void(Cluster&)>& aEvent,
                         const std::function<void(ClusterOptions&)>& aAdjust = {})
  {
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
      ClusterOptions options = SmallOptions(seed);
      if (aAdjust) {
        aAdjust(options);
      }
      Cluster cluster;
      Measure::Start(cluster, options);
      Measure::OpenFlows(cluster, 200);
      Measure::RunFor(cluster, 500ms);
      aEvent(cluster);
      for (int second = 0; second < 10; ++second) {
        Measure::OpenFlows(cluster, 50);
        Measure::RunFor(cluster, 1s);
      }
      LONGS_EQUAL(0, cluster.mCounts.mBroken);
      LONGS_EQUAL(0, cluster.mCounts.mLateNewWork);
      LONGS_EQUAL(0, cluster.mCounts.mMisdelivered);
      CHECK_TRUE(cluster.mCounts.mDropped * 1000 < cluster.mCounts.mPackets);
    }
  }
};

// Guards against flows that break while all instances agree.
TEST(Cluster, BreaksNothingWithoutChanges)
{
  CheckNoBrokenFlow([](Cluster&) {});
}

// Guards against flows that move with a slot, and against new work after the 3 s of a drain.
TEST(Cluster, KeepsFlowsWhenAnUpstreamDrains)
{
  CheckNoBrokenFlow(
    [](Cluster& aCluster) { Measure::DrainUpstream(aCluster, FirstUpstream(aCluster)); });
}

// Guards against flows that move to a new upstream with their slot.
TEST(Cluster, KeepsFlowsWhenAnUpstreamJoins)
{
  CheckNoBrokenFlow([](Cluster& aCluster) { Measure::AddUpstream(aCluster); });
}

// Guards against flows that move when shares change.
TEST(Cluster, KeepsFlowsWhenAWeightChanges)
{
  CheckNoBrokenFlow(
    [](Cluster& aCluster) { Measure::SetWeight(aCluster, FirstUpstream(aCluster), 9); });
}

// Guards against instances with different table versions and views that place a flow differently.
TEST(Cluster, KeepsFlowsWhenUpdatesAreUneven)
{
  CheckNoBrokenFlow(
    [](Cluster& aCluster) {
      Measure::DrainUpstream(aCluster, FirstUpstream(aCluster));
      Measure::AddUpstream(aCluster);
    },
    [](ClusterOptions& aOptions) {
      aOptions.mMaxViewDelay = 800ms;
      aOptions.mMaxDelay = 30ms;
    });
}

// Guards against records that are lost when their owner leaves.
TEST(Cluster, KeepsFlowsWhenAnOwnerLeavesDuringADrain)
{
  CheckNoBrokenFlow([](Cluster& aCluster) {
    Measure::DrainUpstream(aCluster, FirstUpstream(aCluster));
    Measure::RunFor(aCluster, 2s);
    Measure::OpenFlows(aCluster, 100);
    Measure::RunFor(aCluster, 2s);
    Measure::LeaveInstance(aCluster, Base::InstanceId(3));
  });
}

// Guards against two planned changes at once.
TEST(Cluster, KeepsFlowsWhenAnInstanceRestartsAndAnUpstreamDrains)
{
  CheckNoBrokenFlow([](Cluster& aCluster) {
    Measure::RestartInstance(aCluster, Base::InstanceId(4));
    Measure::DrainUpstream(aCluster, FirstUpstream(aCluster));
  });
}

// Guards against a publisher that restarts in the middle of the change that it prepared.
TEST(Cluster, KeepsFlowsWhenThePublisherRestartsDuringAChange)
{
  CheckNoBrokenFlow([](Cluster& aCluster) {
    Measure::DrainUpstream(aCluster, FirstUpstream(aCluster));
    Measure::RunFor(aCluster, 150ms);
    Measure::RestartInstance(aCluster, Base::InstanceId(1));
  });
}

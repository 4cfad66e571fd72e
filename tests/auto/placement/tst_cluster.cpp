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

TEST_GROUP(Cluster){
  // Opens flows before and after the event and checks that none of them breaks.
  void CheckNoBrokenFlow(const std::function<void(Cluster&)>& aEvent,
                         const std::function<void(ClusterOptions&)>& aAdjust = {}){
    for (uint64_t seed = 1; seed <= kSeeds; ++seed){ ClusterOptions options = SmallOptions(seed);
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
}
;

// Guards against flows that break although table and membership do not change.
TEST(Cluster, KeepsFlowsWithoutChanges)
{
  CheckNoBrokenFlow([](Cluster&) {});
}

// Guards against flows that move with their slot, and against new flows at a draining upstream
// after the limit of 3 s.
TEST(Cluster, KeepsFlowsWhenAnUpstreamDrains)
{
  CheckNoBrokenFlow(
    [](Cluster& aCluster) { Measure::DrainUpstream(aCluster, FirstUpstream(aCluster)); });
}

// Guards against flows that move with their slot to a new upstream.
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

// Guards against a flow that instances place differently because their tables and views differ.
// View changes arrive up to 800 ms apart here.
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

// Guards against flows that break when an availability zone is evacuated and readmitted, and
// against new flows there later than 3 s after the views have changed.
TEST(Cluster, KeepsFlowsWhenAZoneIsEvacuatedAndReadmitted)
{
  const auto setShare = [](Cluster& aCluster, double aShare) {
    for (size_t i = 0; i < 2; ++i) {
      aCluster.mUpstreams[i].mNewWorkShare = aShare;
      aCluster.mDrainStart[aCluster.mUpstreams[i].mEndpoint] = aCluster.mNow;
    }
    Measure::SpreadMembership(aCluster, 100ms);
  };
  CheckNoBrokenFlow([&](Cluster& aCluster) {
    setShare(aCluster, 0);
    for (int second = 0; second < 6; ++second) {
      Measure::OpenFlows(aCluster, 50);
      Measure::RunFor(aCluster, 1s);
    }
    LONGS_EQUAL(0, aCluster.mCounts.mLateNewWork);
    const Placement::SlotTable& table = aCluster.mInstances.begin()->second.mControl.mCopy.mTable;
    for (const Placement::Slot& slot : table.mSlots) {
      CHECK_TRUE(table.mUpstreams[slot.mCurrent] != FirstUpstream(aCluster));
    }
    setShare(aCluster, 1);
    aCluster.mDrainStart.clear();
  });
}

// Guards against flow records that are lost when the slot owner leaves.
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

// Guards against flows that break if an instance restarts while slots are moved.
TEST(Cluster, KeepsFlowsWhenAnInstanceRestartsAndAnUpstreamDrains)
{
  CheckNoBrokenFlow([](Cluster& aCluster) {
    Measure::RestartInstance(aCluster, Base::InstanceId(4));
    Measure::DrainUpstream(aCluster, FirstUpstream(aCluster));
  });
}

// Guards against flows that break if the publisher restarts between prepare and activation.
TEST(Cluster, KeepsFlowsWhenThePublisherRestartsDuringAChange)
{
  CheckNoBrokenFlow([](Cluster& aCluster) {
    Measure::DrainUpstream(aCluster, FirstUpstream(aCluster));
    Measure::RunFor(aCluster, 150ms);
    Measure::RestartInstance(aCluster, Base::InstanceId(1));
  });
}

// Guards against a new owner that places flows by default before it has collected its peers'
// caches.
TEST(Cluster, KeepsCachedFlowsWhenAnOwnerDies)
{
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Cluster cluster;
    Measure::Start(cluster, SmallOptions(seed));
    Measure::DrainUpstream(cluster, FirstUpstream(cluster));
    Measure::RunFor(cluster, 3s);
    Measure::OpenFlows(cluster, 200);
    // Each flow sends about 30 packets to 6 instances, so that some instance caches each record.
    Measure::RunFor(cluster, 4s);
    Measure::KillInstance(cluster, Base::InstanceId(2));
    Measure::RunFor(cluster, 10s);
    LONGS_EQUAL(0, cluster.mCounts.mBroken);
  }
}

// Guards against new flows at a draining upstream if the publisher dies before it has moved the
// slots, and against a next publisher that discards a change which some instances have activated.
TEST(Cluster, EndsNewFlowsInTimeWhenThePublisherDiesDuringAChange)
{
  for (const Base::Duration deathAfter : { 0ms, 250ms, 450ms, 700ms }) {
    Cluster cluster;
    Measure::Start(cluster, SmallOptions(11));
    Measure::DrainUpstream(cluster, FirstUpstream(cluster));
    Measure::RunFor(cluster, deathAfter);
    Measure::KillInstance(cluster, Base::InstanceId(1));
    for (int second = 0; second < 12; ++second) {
      Measure::OpenFlows(cluster, 50);
      Measure::RunFor(cluster, 1s);
    }
    LONGS_EQUAL(0, cluster.mCounts.mLateNewWork);
    const Placement::SlotTable& table =
      cluster.mInstances.at(Base::InstanceId(2)).mControl.mCopy.mTable;
    for (const Placement::Slot& slot : table.mSlots) {
      CHECK_TRUE(table.mUpstreams[slot.mCurrent] != FirstUpstream(cluster));
    }
  }
}

// Guards against instances that keep an old table version after lost messages.
TEST(Cluster, AgreesOnOneTableDespiteLoss)
{
  ClusterOptions options = SmallOptions(5);
  options.mLoss = 0.2;
  options.mFlows = 50;
  Cluster cluster;
  Measure::Start(cluster, options);
  Measure::DrainUpstream(cluster, FirstUpstream(cluster));
  Measure::RunFor(cluster, 6s);
  const Placement::TableVersion version =
    cluster.mInstances.at(Base::InstanceId(1)).mControl.mCopy.mTable.mVersion;
  for (const auto& [id, instance] : cluster.mInstances) {
    CHECK_TRUE(instance.mControl.mCopy.mTable.mVersion == version);
  }
}

// Guards against packets to an address that another service reuses while an instance still has the
// oldest possible table.
TEST(Cluster, SendsNothingToAnAddressOfAnotherService)
{
  Cluster cluster;
  Measure::Start(cluster, SmallOptions(3));
  const Base::Endpoint address = FirstUpstream(cluster);
  cluster.mUpstreams.erase(cluster.mUpstreams.begin());
  Membership::Upstream reused;
  reused.mEndpoint = address;
  reused.mGeneration = Base::ServiceGeneration(99);
  reused.mUsableFrom = cluster.mNow + 6s;
  reused.mLeaseEnd = cluster.mNow + 100s;
  // No instance learns of the removal; the known leases expire.
  Measure::RunFor(cluster, 6s);
  cluster.mUpstreams.insert(cluster.mUpstreams.begin(), reused);
  Measure::SpreadMembership(cluster, 3s);
  Measure::RunFor(cluster, 5s);
  LONGS_EQUAL(0, cluster.mCounts.mMisdelivered);
}

// Guards against slots that stay ambiguous, and so need a record for each flow, long after the last
// packet to the older upstream.
TEST(Cluster, EndsAmbiguityWhenTheOlderUpstreamIsIdle)
{
  ClusterOptions options = SmallOptions(8);
  options.mFlows = 0;
  options.mSettings.mFlowIdle = 4s;
  Cluster cluster;
  Measure::Start(cluster, options);
  Measure::AddUpstream(cluster);
  Measure::RunFor(cluster, 9s); // Slow start moves the last slots after 7.5 s.
  CHECK_FALSE(cluster.mInstances.at(Base::InstanceId(1)).mControl.mCopy.mTable.mHistory.empty());
  Measure::RunFor(cluster, 6s);
  for (const auto& [id, instance] : cluster.mInstances) {
    CHECK_TRUE(instance.mControl.mCopy.mTable.mHistory.empty());
  }
}

// Guards against two sides of a partition that keep different tables after it has healed.
TEST(Cluster, AgreesOnOneTableAfterAPartition)
{
  for (const bool lowerSideIsNewer : { false, true }) {
    Cluster cluster;
    Measure::Start(cluster, SmallOptions(6));
    const auto isLow = [](Base::InstanceId aId) { return aId < Base::InstanceId(4); };
    for (auto& [id, instance] : cluster.mInstances) {
      std::vector<Membership::Member> side;
      for (const Membership::Member& member : cluster.mMembers) {
        if (isLow(member.mId) == isLow(id)) {
          side.push_back(member);
        }
      }
      instance.mView.mMembers = side;
    }
    Measure::RunFor(cluster, 3s);
    for (auto& [id, instance] : cluster.mInstances) {
      if (isLow(id) == lowerSideIsNewer) {
        instance.mView.mUpstreams.front().mState = Membership::UpstreamState::Draining;
      }
    }
    Measure::RunFor(cluster, 3s);
    const auto versionOf = [&](uint32_t aId) {
      return cluster.mInstances.at(Base::InstanceId(aId)).mControl.mCopy.mTable.mVersion;
    };
    CHECK_TRUE(versionOf(1) != versionOf(6));
    Measure::SpreadMembership(cluster, 200ms);
    Measure::RunFor(cluster, 6s);
    for (uint32_t id = 2; id <= 6; ++id) {
      CHECK_TRUE(versionOf(id) == versionOf(1));
    }
  }
}

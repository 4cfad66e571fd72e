#include "fakecluster.h"

#include <CppUTest/TestHarness.h>

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds kElectionBound = seconds(20);

/// Runs changes and reads with message loss and duplicates while a minority of the instances
/// crashes, restarts or is isolated. Occasionally all instances crash and restart at once.
void
RunWithFailures(FakeCluster& aCluster, uint32_t aInstances, uint64_t aSeed)
{
  Base::RandomSource random{ aSeed };
  aCluster.mLossPermille = 30;
  aCluster.mDuplicatePermille = 30;
  std::vector<uint32_t> down;
  std::vector<uint32_t> isolated;
  for (int i = 0; i < 700; ++i) {
    const auto instance = static_cast<uint32_t>(1 + Base::NextBelow(random, aInstances));
    const uint64_t event = Base::NextBelow(random, 100);
    const bool mayFail = down.size() + isolated.size() < (aInstances - 1) / 2;
    if (event < 3 && mayFail && aCluster.IsRunning(instance)) {
      aCluster.Crash(instance);
      down.push_back(instance);
    } else if (event < 6 && mayFail && aCluster.IsRunning(instance)) {
      aCluster.SetIsolated(instance, true);
      isolated.push_back(instance);
    } else if (event == 14) {
      // Power failure of all instances.
      for (uint32_t target = 1; target <= aInstances; ++target) {
        if (aCluster.IsRunning(target)) {
          aCluster.Crash(target);
          aCluster.Start(target);
        }
      }
    } else if (event < 10 && !down.empty()) {
      aCluster.Start(down.back());
      down.pop_back();
    } else if (event < 14 && !isolated.empty()) {
      aCluster.SetIsolated(isolated.back(), false);
      isolated.pop_back();
    }
    // Proposals go to every instance, to detect one that wrongly acts as the leader.
    for (uint32_t target = 1; target <= aInstances; ++target) {
      aCluster.Propose(target);
      aCluster.Read(target);
    }
    aCluster.Run(milliseconds(Base::NextBelow(random, 80)));
  }
  for (const uint32_t instance : down) {
    aCluster.Start(instance);
  }
  for (const uint32_t instance : isolated) {
    aCluster.SetIsolated(instance, false);
  }
  aCluster.mLossPermille = 0;
}

} // namespace

TEST_GROUP(Cluster){ void FormCluster(FakeCluster & aCluster, uint32_t aInstances){
  for (uint32_t instance = 1; instance <= aInstances; ++instance){ aCluster.Start(instance);
}
const bool formed = aCluster.RunUntil([&] { return aCluster.Leader() != 0; }, kElectionBound);
CHECK_TRUE_TEXT(formed, aCluster.Violation().c_str());
}

void
RequireAcknowledged(FakeCluster& aCluster, size_t aChanges)
{
  const size_t target = aCluster.mAcknowledged + aChanges;
  const auto propose = [&] {
    const uint32_t leader = aCluster.Leader();
    if (leader != 0 && aCluster.mAcknowledged < target) {
      aCluster.Propose(leader);
    }
    return aCluster.mAcknowledged >= target;
  };
  CHECK_TRUE(aCluster.RunUntil(propose, seconds(60)));
}

void
RequireConverged(FakeCluster& aCluster)
{
  CHECK_TRUE(aCluster.RunUntil([&] { return aCluster.HasConverged(); }, seconds(60)));
  STRCMP_EQUAL("", aCluster.Violation().c_str());
}
}
;

// Guards against lost or reordered acknowledged changes, two leaders in a term, and stale reads
// when instances crash, restart and are isolated at random times.
TEST(Cluster, KeepsGuaranteesUnderRandomFailures)
{
  for (uint64_t seed = 1; seed <= 30; ++seed) {
    const uint32_t instances = seed % 3 == 0 ? 5 : 3;
    FakeCluster cluster(seed, instances);
    FormCluster(cluster, instances);
    RunWithFailures(cluster, instances, seed);
    RequireAcknowledged(cluster, 10);
    RequireConverged(cluster);
    CHECK_TRUE(cluster.mAcknowledged > 200);
    CHECK_TRUE(cluster.mReads > 100);
  }
}

// Guards against ineffective checks in the test above. With disks that report a sync without doing
// it, changes are acknowledged before they are durable, and the checks must fail.
TEST(Cluster, ChecksCatchAcknowledgementBeforeSync)
{
  size_t caught = 0;
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    FakeCluster cluster(seed, 3);
    FormCluster(cluster, 3);
    RequireAcknowledged(cluster, 10);
    for (uint32_t instance = 1; instance <= 3; ++instance) {
      cluster.Disk(instance).mSkipSyncs = true;
    }
    RequireAcknowledged(cluster, 10);
    for (uint32_t instance = 1; instance <= 3; ++instance) {
      cluster.Crash(instance);
      cluster.Disk(instance).mSkipSyncs = false;
      cluster.Start(instance);
    }
    const bool converged =
      cluster.RunUntil([&] { return cluster.Leader() != 0; }, kElectionBound) &&
      cluster.RunUntil([&] { return cluster.HasConverged(); }, seconds(20));
    caught += !converged || !cluster.Violation().empty() ? 1 : 0;
  }
  LONGS_EQUAL(5, caught);
}

// Guards against an instance that forces an election when it reconnects after a long isolation.
TEST(Cluster, IsolatedInstanceRaisesNoTermWhenItReturns)
{
  FakeCluster cluster(11, 3);
  FormCluster(cluster, 3);
  RequireAcknowledged(cluster, 10);
  const uint32_t leader = cluster.Leader();
  const uint32_t isolated = leader % 3 + 1;
  const Consensus::Term term = cluster.Term(leader);
  cluster.SetIsolated(isolated, true);
  RequireAcknowledged(cluster, 200);
  cluster.Run(seconds(600));
  cluster.SetIsolated(isolated, false);
  cluster.Run(seconds(30));
  for (uint32_t instance = 1; instance <= 3; ++instance) {
    LONGS_EQUAL(term, cluster.Term(instance));
  }
  LONGS_EQUAL(leader, cluster.Leader());
  RequireConverged(cluster);
}

// Guards against an isolated leader that still answers reads or accepts changes, and against its
// uncommitted changes replacing acknowledged ones when it reconnects.
TEST(Cluster, IsolatedLeaderStepsDownAndFollowsWhenItReturns)
{
  FakeCluster cluster(12, 5);
  FormCluster(cluster, 5);
  RequireAcknowledged(cluster, 10);
  const uint32_t old = cluster.Leader();
  cluster.SetIsolated(old, true);
  CHECK_TRUE(cluster.Propose(old));
  const size_t before = cluster.mAcknowledged;
  cluster.Run(cluster.mSettings.mElectionTimeout + milliseconds(10));
  CHECK_FALSE(cluster.Propose(old));
  LONGS_EQUAL(before, cluster.mAcknowledged);
  CHECK_TRUE(cluster.RunUntil([&] { return cluster.Leader() != 0; }, kElectionBound));
  RequireAcknowledged(cluster, 100);
  cluster.Run(seconds(300));
  cluster.SetIsolated(old, false);
  RequireAcknowledged(cluster, 10);
  RequireConverged(cluster);
}

// Guards against lost changes when all instances restart after hundreds of changes, some of which
// exist only in a snapshot.
TEST(Cluster, RestartsAfterHundredsOfChanges)
{
  for (uint64_t seed = 20; seed < 25; ++seed) {
    FakeCluster cluster(seed, 3);
    Base::RandomSource random{ seed };
    FormCluster(cluster, 3);
    for (int round = 0; round < 4; ++round) {
      RequireAcknowledged(cluster, 50 + Base::NextBelow(random, 100));
      for (uint32_t instance = 1; instance <= 3; ++instance) {
        cluster.Crash(instance);
      }
      for (uint32_t instance = 1; instance <= 3; ++instance) {
        cluster.Start(instance);
      }
    }
    RequireAcknowledged(cluster, 1);
    RequireConverged(cluster);
  }
}

// Guards against an instance with a full disk that acknowledges changes or blocks the others.
TEST(Cluster, FullDiskAcknowledgesNothing)
{
  FakeCluster cluster(31, 3);
  FormCluster(cluster, 3);
  RequireAcknowledged(cluster, 20);
  const uint32_t full = cluster.Leader();
  cluster.Disk(full).mOperationsLeft = 1;
  cluster.Propose(full);
  cluster.Run(milliseconds(50));
  CHECK_TRUE(cluster.Node(full).mFailed);
  RequireAcknowledged(cluster, 20);
  cluster.Crash(full);
  cluster.Start(full);
  RequireConverged(cluster);
}

// Guards against a cluster that is without a leader for long after a loss of power of all
// instances, although they start at about the same time and nothing is lost.
TEST(Cluster, LeadsSoonAfterACommonRestart)
{
  constexpr uint64_t kSeeds = 100;
  constexpr uint64_t kStartSpreadMs = 100;
  // Two intervals between pre-votes, a vote and the syncs.
  constexpr milliseconds kBound{ 250 };
  // A split vote costs an election timeout. It must be rare.
  constexpr int kMaxSlowElections = 5;
  int slow = 0;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    FakeCluster cluster(seed, 3);
    FormCluster(cluster, 3);
    RequireAcknowledged(cluster, 5);
    Base::RandomSource random{ seed };
    for (uint32_t instance = 1; instance <= 3; ++instance) {
      cluster.Crash(instance);
    }
    for (uint32_t instance = 1; instance <= 3; ++instance) {
      cluster.Run(milliseconds(Base::NextBelow(random, kStartSpreadMs / 3)));
      cluster.Start(instance);
    }
    const auto leads = [&cluster] { return cluster.Leader() != 0; };
    slow += cluster.RunUntil(leads, kBound) ? 0 : 1;
    CHECK_TRUE(cluster.RunUntil(leads, kElectionBound));
    STRCMP_EQUAL("", cluster.Violation().c_str());
  }
  CHECK_TRUE_TEXT(slow <= kMaxSlowElections, std::to_string(slow).c_str());
}

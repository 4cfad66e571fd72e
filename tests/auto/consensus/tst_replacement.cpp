#include "fakecluster.h"

#include <CppUTest/TestHarness.h>

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds kBound = seconds(60);

bool
AreAllVoters(const FakeCluster& aCluster, uint32_t aInstances)
{
  const uint32_t leader = aCluster.Leader();
  if (leader == 0) {
    return false;
  }
  uint32_t voters = 0;
  for (const auto& replica : Consensus::CurrentMembership(aCluster.Node(leader)).replicas()) {
    const bool present =
      aCluster.IsRunning(replica.instance()) &&
      aCluster.Node(replica.instance()).mHardState.mStorage.mValue == replica.storage();
    voters += replica.voter() && present ? 1 : 0;
  }
  return voters == aInstances;
}

} // namespace

TEST_GROUP(Replacement){ void MustForm(FakeCluster & aCluster, uint32_t aInstances){
  for (uint32_t instance = 1; instance <= aInstances; ++instance){ aCluster.Start(instance);
}
CHECK_TRUE(aCluster.RunUntil([&] { return AreAllVoters(aCluster, aInstances); }, kBound));
}

void
MustAcknowledge(FakeCluster& aCluster, size_t aChanges)
{
  const size_t target = aCluster.mAcknowledged + aChanges;
  const auto propose = [&] {
    aCluster.Propose(std::max(aCluster.Leader(), 1U));
    return aCluster.mAcknowledged >= target;
  };
  CHECK_TRUE(aCluster.RunUntil(propose, kBound));
}

void
Lose(FakeCluster& aCluster, uint32_t aInstance)
{
  aCluster.Crash(aInstance);
  aCluster.Disk(aInstance).Wipe();
}

void
MustConverge(FakeCluster& aCluster)
{
  CHECK_TRUE(aCluster.RunUntil([&] { return aCluster.HasConverged(); }, kBound));
  STRCMP_EQUAL("", aCluster.Violation().c_str());
}
}
;

// Guards against a repair after which the loss of a second instance loses changes or the quorum,
// and against snapshot pieces that are put together wrongly when they come twice or late.
TEST(Replacement, SecondInstanceIsLostRightAfterARepair)
{
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    for (uint32_t first = 1; first <= 3; ++first) {
      FakeCluster cluster(seed * 7, 3);
      cluster.mDuplicatePermille = 200;
      MustForm(cluster, 3);
      MustAcknowledge(cluster, 120);
      Lose(cluster, first);
      MustAcknowledge(cluster, 30);
      cluster.Start(first);
      CHECK_TRUE(cluster.RunUntil([&] { return AreAllVoters(cluster, 3); }, kBound));
      const uint32_t second = first % 3 + 1;
      Lose(cluster, second);
      MustAcknowledge(cluster, 30);
      cluster.Start(second);
      CHECK_TRUE(cluster.RunUntil([&] { return AreAllVoters(cluster, 3); }, kBound));
      MustAcknowledge(cluster, 1);
      MustConverge(cluster);
    }
  }
}

// Guards against an empty disk under an old id that helps to elect a leader without the
// acknowledged changes: 1 and 2 hold a change that 3 lacks, 2 loses its disk, and 1 is cut off.
TEST(Replacement, EmptyDiskUnderAnOldIdDoesNotVote)
{
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    FakeCluster cluster(seed, 3);
    MustForm(cluster, 3);
    const uint32_t leader = cluster.Leader();
    const uint32_t lost = leader % 3 + 1;
    const uint32_t behind = lost % 3 + 1;
    cluster.SetIsolated(behind, true);
    MustAcknowledge(cluster, 10);
    cluster.SetIsolated(leader, true);
    Lose(cluster, lost);
    cluster.Start(lost);
    cluster.SetIsolated(behind, false);
    cluster.Run(seconds(60));
    LONGS_EQUAL(0, cluster.Leader());
    cluster.SetIsolated(leader, false);
    MustAcknowledge(cluster, 10);
    CHECK_TRUE(cluster.RunUntil([&] { return AreAllVoters(cluster, 3); }, kBound));
    MustConverge(cluster);
  }
}

// Guards against a learner that counts for the quorum before it has the log: with the learner's
// disk full, the change to voter must not happen.
TEST(Replacement, LearnerThatCannotSyncStaysALearner)
{
  FakeCluster cluster(5, 3);
  MustForm(cluster, 3);
  MustAcknowledge(cluster, 120);
  const uint32_t lost = cluster.Leader() % 3 + 1;
  Lose(cluster, lost);
  cluster.Start(lost);
  cluster.Disk(lost).mOperationsLeft = 4;
  cluster.Run(seconds(30));
  CHECK_TRUE(cluster.Node(lost).mFailed);
  const Consensus::Node& leader = cluster.Node(cluster.Leader());
  CHECK_FALSE(Consensus::IsVoter(Consensus::CurrentMembership(leader),
                                 cluster.Node(lost).mHardState.mStorage));
  MustAcknowledge(cluster, 10);
}

// Guards against a removed replica that comes back from the dead and disturbs its successor.
TEST(Replacement, ReplacedDiskThatReturnsIsIgnored)
{
  FakeCluster cluster(6, 3);
  MustForm(cluster, 3);
  MustAcknowledge(cluster, 30);
  const uint32_t lost = cluster.Leader() % 3 + 1;
  cluster.Crash(lost);
  const auto oldFiles = cluster.Disk(lost).mFiles;
  cluster.Disk(lost).Wipe();
  cluster.Start(lost);
  CHECK_TRUE(cluster.RunUntil([&] { return AreAllVoters(cluster, 3); }, kBound));
  const uint32_t leader = cluster.Leader();
  const Consensus::Term term = cluster.Term(leader);
  cluster.Crash(lost);
  cluster.Disk(lost).mFiles = oldFiles;
  cluster.Start(lost);
  cluster.Run(seconds(60));
  LONGS_EQUAL(leader, cluster.Leader());
  LONGS_EQUAL(term, cluster.Term(leader));
  MustAcknowledge(cluster, 10);
  STRCMP_EQUAL("", cluster.Violation().c_str());
}

// Guards against instances that were added to the settings later and never join, or that all join
// at once.
TEST(Replacement, GrowsFromThreeToFiveInstancesOneAtATime)
{
  FakeCluster cluster(8, 5);
  const std::vector<Base::InstanceId> all = cluster.mSettings.mInstances;
  cluster.mSettings.mInstances.resize(3);
  MustForm(cluster, 3);
  MustAcknowledge(cluster, 100);
  cluster.mSettings.mInstances = all;
  for (uint32_t instance = 1; instance <= 3; ++instance) {
    cluster.Crash(instance);
    cluster.Start(instance);
  }
  cluster.Start(4);
  cluster.Start(5);
  CHECK_TRUE(cluster.RunUntil([&] { return AreAllVoters(cluster, 5); }, kBound));
  MustAcknowledge(cluster, 10);
  MustConverge(cluster);
}

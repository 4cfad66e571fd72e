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

TEST_GROUP(Replacement){ void FormCluster(FakeCluster & aCluster, uint32_t aInstances){
  for (uint32_t instance = 1; instance <= aInstances; ++instance){ aCluster.Start(instance);
}
CHECK_TRUE(aCluster.RunUntil([&] { return AreAllVoters(aCluster, aInstances); }, kBound));
}

void
RequireAcknowledged(FakeCluster& aCluster, size_t aChanges)
{
  const size_t target = aCluster.mAcknowledged + aChanges;
  const auto propose = [&] {
    aCluster.Propose(std::max(aCluster.Leader(), 1U));
    return aCluster.mAcknowledged >= target;
  };
  CHECK_TRUE(aCluster.RunUntil(propose, kBound));
}

void
LoseWithDisk(FakeCluster& aCluster, uint32_t aInstance)
{
  aCluster.Crash(aInstance);
  aCluster.Disk(aInstance).Wipe();
}

void
RequireConverged(FakeCluster& aCluster)
{
  CHECK_TRUE(aCluster.RunUntil([&] { return aCluster.HasConverged(); }, kBound));
  STRCMP_EQUAL("", aCluster.Violation().c_str());
}
}
;

// Guards against losing changes or the quorum when a second instance is lost right after the first
// was replaced, and against snapshots corrupted by duplicate or late pieces.
TEST(Replacement, SecondInstanceIsLostRightAfterARepair)
{
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    for (uint32_t first = 1; first <= 3; ++first) {
      FakeCluster cluster(seed * 7, 3);
      cluster.mDuplicatePermille = 200;
      FormCluster(cluster, 3);
      RequireAcknowledged(cluster, 120);
      LoseWithDisk(cluster, first);
      RequireAcknowledged(cluster, 30);
      cluster.Start(first);
      CHECK_TRUE(cluster.RunUntil([&] { return AreAllVoters(cluster, 3); }, kBound));
      const uint32_t second = first % 3 + 1;
      LoseWithDisk(cluster, second);
      RequireAcknowledged(cluster, 30);
      cluster.Start(second);
      CHECK_TRUE(cluster.RunUntil([&] { return AreAllVoters(cluster, 3); }, kBound));
      RequireAcknowledged(cluster, 1);
      RequireConverged(cluster);
    }
  }
}

// Guards against an instance with an empty disk that helps to elect a leader without the
// acknowledged changes: instances 1 and 2 have a change that 3 lacks, 2 loses its disk, and 1 is
// isolated.
TEST(Replacement, EmptyDiskUnderAnOldIdDoesNotVote)
{
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    FakeCluster cluster(seed, 3);
    FormCluster(cluster, 3);
    const uint32_t leader = cluster.Leader();
    const uint32_t lost = leader % 3 + 1;
    const uint32_t behind = lost % 3 + 1;
    cluster.SetIsolated(behind, true);
    RequireAcknowledged(cluster, 10);
    cluster.SetIsolated(leader, true);
    LoseWithDisk(cluster, lost);
    cluster.Start(lost);
    cluster.SetIsolated(behind, false);
    cluster.Run(seconds(60));
    LONGS_EQUAL(0, cluster.Leader());
    cluster.SetIsolated(leader, false);
    RequireAcknowledged(cluster, 10);
    CHECK_TRUE(cluster.RunUntil([&] { return AreAllVoters(cluster, 3); }, kBound));
    RequireConverged(cluster);
  }
}

// Guards against a learner that counts toward the quorum before it has the log. A learner with a
// full disk must not become a voter.
TEST(Replacement, LearnerThatCannotSyncStaysALearner)
{
  FakeCluster cluster(5, 3);
  FormCluster(cluster, 3);
  RequireAcknowledged(cluster, 120);
  const uint32_t lost = cluster.Leader() % 3 + 1;
  LoseWithDisk(cluster, lost);
  cluster.Start(lost);
  cluster.Disk(lost).mOperationsLeft = 4;
  cluster.Run(seconds(30));
  CHECK_TRUE(cluster.Node(lost).mFailed);
  const Consensus::Node& leader = cluster.Node(cluster.Leader());
  CHECK_FALSE(Consensus::IsVoter(Consensus::CurrentMembership(leader),
                                 cluster.Node(lost).mHardState.mStorage));
  RequireAcknowledged(cluster, 10);
}

// Guards against a removed replica that returns with its old disk and disrupts the cluster.
TEST(Replacement, ReplacedDiskThatReturnsIsIgnored)
{
  FakeCluster cluster(6, 3);
  FormCluster(cluster, 3);
  RequireAcknowledged(cluster, 30);
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
  RequireAcknowledged(cluster, 10);
  STRCMP_EQUAL("", cluster.Violation().c_str());
}

// Guards against instances added to the settings later that never join, or that join at the same
// time.
TEST(Replacement, GrowsFromThreeToFiveInstancesOneAtATime)
{
  FakeCluster cluster(8, 5);
  const std::vector<Base::InstanceId> all = cluster.mSettings.mInstances;
  cluster.mSettings.mInstances.resize(3);
  FormCluster(cluster, 3);
  RequireAcknowledged(cluster, 100);
  cluster.mSettings.mInstances = all;
  for (uint32_t instance = 1; instance <= 3; ++instance) {
    cluster.Crash(instance);
    cluster.Start(instance);
  }
  cluster.Start(4);
  cluster.Start(5);
  CHECK_TRUE(cluster.RunUntil([&] { return AreAllVoters(cluster, 5); }, kBound));
  RequireAcknowledged(cluster, 10);
  RequireConverged(cluster);
}

// Guards against a replacement that never joins because the leader is not among the instances that
// its settings name. The loss of two more disks would then cost the quorum for good.
TEST(Replacement, JoinsWhileTheLeaderIsNotConfigured)
{
  FakeCluster cluster(11, 5);
  cluster.mSettings.mInstances.resize(3);
  cluster.mSettings.mOpenMembership = true;
  cluster.mSettings.mMinVoters = 5;
  FormCluster(cluster, 3);
  cluster.Start(4);
  cluster.Start(5);
  CHECK_TRUE(cluster.RunUntil([&] { return AreAllVoters(cluster, 5); }, kBound));
  while (cluster.Leader() < 4) {
    const uint32_t leader = cluster.Leader();
    cluster.SetIsolated(leader, true);
    CHECK_TRUE(cluster.RunUntil([&] { return cluster.Leader() != 0; }, kBound));
    cluster.SetIsolated(leader, false);
    cluster.Run(seconds(2));
  }
  LoseWithDisk(cluster, 1);
  cluster.Start(1);
  CHECK_TRUE(cluster.RunUntil([&] { return AreAllVoters(cluster, 5); }, kBound));
  LoseWithDisk(cluster, 4);
  LoseWithDisk(cluster, 5);
  RequireAcknowledged(cluster, 10);
  RequireConverged(cluster);
}

namespace {

/// How long a machine that is lost or new may take to hold all data again.
constexpr milliseconds kCatchUpTime = seconds(4);
/// How long a machine that lost its disk is down.
constexpr milliseconds kDownTime = seconds(3);
constexpr milliseconds kStopBound = seconds(2);

/// Removal of a machine and the later loss of another machine's disk.
struct LossAfterReplacement
{
  bool mLeaderIsRemoved = false;
  /// If true, the removed machine stops without a signal.
  bool mCrashes = false;
  /// Start of the replacement after the removal; negative if it starts before.
  milliseconds mReplacementDelay{ 0 };
};

} // namespace

// Guards against a removed machine that still counts toward the quorum when its replacement has
// caught up. The disk loss of any other machine would then end the configuration for good.
TEST(Replacement, DiskIsLostAfterAReplacementAtANewAddress)
{
  const std::vector<LossAfterReplacement> cases = {
    { false, false, seconds(-2) },         { true, false, seconds(-2) },
    { false, false, milliseconds(-4500) }, { true, false, milliseconds(-4500) },
    { false, true, seconds(1) },           { true, true, seconds(1) },
    { false, true, seconds(0) },           { true, true, seconds(0) },
  };
  for (const LossAfterReplacement& item : cases) {
    for (uint32_t victim = 0; victim < 3; ++victim) {
      FakeCluster cluster(victim + 3, 4);
      cluster.mSettings.mInstances.resize(3);
      cluster.mSettings.mOpenMembership = true;
      FormCluster(cluster, 3);
      RequireAcknowledged(cluster, 10);
      const uint32_t leader = cluster.Leader();
      const uint32_t removed = item.mLeaderIsRemoved ? leader : leader % 3 + 1;
      milliseconds sinceStart(0);
      if (item.mReplacementDelay < milliseconds(0)) {
        cluster.Start(4);
        cluster.Run(-item.mReplacementDelay);
        sinceStart = -item.mReplacementDelay;
      }
      if (item.mCrashes) {
        cluster.Crash(removed);
        cluster.Run(item.mReplacementDelay);
        cluster.Start(4);
      } else {
        cluster.Leave(removed, kStopBound);
      }
      cluster.Run(std::max(milliseconds(0), kCatchUpTime - sinceStart));
      RequireAcknowledged(cluster, 1);
      std::vector<uint32_t> others;
      for (uint32_t instance = 1; instance <= 4; ++instance) {
        if (instance != removed) {
          others.push_back(instance);
        }
      }
      const uint32_t wiped = others[victim];
      LoseWithDisk(cluster, wiped);
      cluster.Run(kDownTime);
      cluster.Start(wiped);
      cluster.Run(kCatchUpTime);
      RequireAcknowledged(cluster, 1);
      RequireConverged(cluster);
    }
  }
}

#include "consensus/membership.h"
#include "fakecluster.h"
#include "storage/directory.h"

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <set>

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

lw::consensus::Replica
MakeReplica(uint32_t aInstance, bool aVoter)
{
  lw::consensus::Replica replica;
  replica.set_instance(aInstance);
  replica.set_storage(aInstance * uint64_t{ 100 });
  replica.set_voter(aVoter);
  return replica;
}

} // namespace

TEST_GROUP(OpenMembership)
{
  Consensus::Membership mMembership;
  std::map<Base::InstanceId, Consensus::StorageId> mJoining;
  std::set<uint64_t> mLeaving;
  /// Replicas that seem to have failed.
  std::set<uint64_t> mSilent;
  /// Replicas that have been silent for so long that they need no replacement to be removed.
  std::set<uint64_t> mUnresponsive;
  std::set<uint64_t> mBehind;
  const std::vector<Base::InstanceId> mNamed{};

  void setup() override
  {
    for (uint32_t instance = 1; instance <= 3; ++instance) {
      *mMembership.add_replicas() = MakeReplica(instance, true);
    }
  }

  bool Step(size_t aMaxVoters = 9)
  {
    Consensus::MembershipChangeInput input{ mMembership,
                                            Consensus::StorageId(100),
                                            mNamed,
                                            mJoining,
                                            [this](Consensus::StorageId aStorage) {
                                              return mBehind.count(aStorage.mValue) == 0;
                                            } };
    input.mOpenMembership = true;
    input.mIsLeaving = [this](Consensus::StorageId aStorage) {
      return mLeaving.count(aStorage.mValue) != 0;
    };
    input.mIsUnresponsive = [this](Consensus::StorageId aStorage) {
      return mUnresponsive.count(aStorage.mValue) != 0;
    };
    input.mIsSilent = [this, &input](Consensus::StorageId aStorage) {
      return mSilent.count(aStorage.mValue) != 0 || input.mIsUnresponsive(aStorage);
    };
    input.mMinVoters = 3;
    input.mMaxVoters = aMaxVoters;
    const auto next = Consensus::NextMembershipChange(input);
    mMembership = next.value_or(mMembership);
    return next.has_value();
  }

  int Voters() const
  {
    int voters = 0;
    for (const lw::consensus::Replica& replica : mMembership.replicas()) {
      voters += replica.voter() ? 1 : 0;
    }
    return voters;
  }
};

// Guards against a machine at a new address that cannot replace a lost one.
TEST(OpenMembership, UnnamedInstanceReplacesALostVoter)
{
  mJoining[Base::InstanceId(4)] = Consensus::StorageId(400);
  CHECK_TRUE(Step());
  CHECK_FALSE(Step());
  mSilent.insert(200);
  CHECK_TRUE(Step());
  CHECK_TRUE(Step());
  CHECK_TRUE(Consensus::IsVoter(mMembership, Consensus::StorageId(400)));
  CHECK_TRUE(Consensus::IsRetired(mMembership, Consensus::StorageId(200)));
  CHECK_FALSE(Step());
}

// Guards against a quorum of two while a voter stops: the loss of a third machine in this moment
// would end the configuration for good.
TEST(OpenMembership, LearnerIsPromotedBeforeAStoppingVoterLeaves)
{
  mJoining[Base::InstanceId(4)] = Consensus::StorageId(400);
  mLeaving.insert(200);
  CHECK_TRUE(Step());
  CHECK_TRUE(Step());
  LONGS_EQUAL(4, Voters());
  CHECK_TRUE(Step());
  LONGS_EQUAL(3, Voters());
  CHECK_TRUE(Consensus::IsRetired(mMembership, Consensus::StorageId(200)));
  CHECK_FALSE(Step());
}

// Guards against an even number of voters, whose quorum is larger although no more of them may
// fail: with 4 voters, a stopped one and a lost disk cost the quorum for good.
TEST(OpenMembership, LearnersBecomeVotersInPairs)
{
  mJoining[Base::InstanceId(4)] = Consensus::StorageId(400);
  CHECK_TRUE(Step());
  CHECK_FALSE(Step());
  LONGS_EQUAL(3, Voters());
  mJoining[Base::InstanceId(5)] = Consensus::StorageId(500);
  mBehind.insert(500);
  CHECK_TRUE(Step());
  CHECK_FALSE(Step());
  LONGS_EQUAL(3, Voters());
  mBehind.clear();
  CHECK_TRUE(Step());
  CHECK_TRUE(Step());
  LONGS_EQUAL(5, Voters());
  CHECK_FALSE(Step());
}

// Guards against a stopped or lost voter that still counts toward the quorum although the quorum is
// smaller without it.
TEST(OpenMembership, EvenMembershipReleasesAVoter)
{
  for (std::set<uint64_t>* kind : { &mLeaving, &mSilent }) {
    mMembership.Clear();
    for (uint32_t instance = 1; instance <= 4; ++instance) {
      *mMembership.add_replicas() = MakeReplica(instance, true);
    }
    *kind = { 200 };
    CHECK_TRUE(Step());
    CHECK_TRUE(Consensus::IsRetired(mMembership, Consensus::StorageId(200)));
    LONGS_EQUAL(3, Voters());
    CHECK_FALSE(Step());
    kind->clear();
  }
}

// Guards against a quorum of one disk, when a second voter fails before the learner that replaces
// the first one is a voter.
TEST(OpenMembership, ReplacementIsCompletedBeforeTheNextOne)
{
  mJoining[Base::InstanceId(4)] = Consensus::StorageId(400);
  CHECK_TRUE(Step());
  mSilent = { 200, 300 };
  CHECK_TRUE(Step());
  LONGS_EQUAL(2, Voters());
  CHECK_TRUE(Step());
  LONGS_EQUAL(3, Voters());
  CHECK_TRUE(Consensus::IsVoter(mMembership, Consensus::StorageId(400)));
  CHECK_FALSE(Step());
}

// Guards against removing a voter that restarts or is slow for a moment while nothing can take its
// place.
TEST(OpenMembership, VoterStaysWithoutAReplacement)
{
  mLeaving.insert(200);
  mSilent.insert(300);
  CHECK_FALSE(Step());
  mJoining[Base::InstanceId(4)] = Consensus::StorageId(400);
  mBehind.insert(400);
  CHECK_TRUE(Step());
  CHECK_FALSE(Step());
  LONGS_EQUAL(3, Voters());
}

// Guards against a lost machine that still counts toward the quorum after it was replaced.
TEST(OpenMembership, SilentVoterIsRemovedOnceItIsReplaced)
{
  mUnresponsive.insert(200);
  CHECK_FALSE(Step());
  mJoining[Base::InstanceId(4)] = Consensus::StorageId(400);
  CHECK_TRUE(Step());
  CHECK_TRUE(Step());
  CHECK_TRUE(Step());
  CHECK_TRUE(Consensus::IsRetired(mMembership, Consensus::StorageId(200)));
  LONGS_EQUAL(3, Voters());
  CHECK_FALSE(Step());
}

// Guards against removing voters until a single disk forms the quorum.
TEST(OpenMembership, NoVoterIsRemovedBelowTheMinimum)
{
  mUnresponsive = { 200, 300 };
  CHECK_FALSE(Step());
  LONGS_EQUAL(3, Voters());
}

// Guards against commits that wait for more voters than fault tolerance requires.
TEST(OpenMembership, FurtherReplicasStayLearners)
{
  mJoining[Base::InstanceId(4)] = Consensus::StorageId(400);
  CHECK_TRUE(Step(3));
  CHECK_FALSE(Step(3));
  CHECK_FALSE(Consensus::IsVoter(mMembership, Consensus::StorageId(400)));
}

// Guards against a cluster that waits for full election timeouts after a restart of all instances,
// when the first pre-votes reach no running peer.
TEST(OpenMembership, FullRestartElectsALeaderQuickly)
{
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    FakeCluster cluster(seed, 3);
    for (uint32_t instance = 1; instance <= 3; ++instance) {
      cluster.Start(instance);
    }
    CHECK_TRUE(cluster.RunUntil([&] { return cluster.Leader() != 0; }, seconds(10)));
    for (uint32_t instance = 1; instance <= 3; ++instance) {
      cluster.Crash(instance);
    }
    for (uint32_t instance = 1; instance <= 3; ++instance) {
      cluster.Start(instance);
      cluster.Run(milliseconds(60));
    }
    CHECK_TRUE(cluster.RunUntil([&] { return cluster.Leader() != 0; }, milliseconds(900)));
  }
}

// Guards against a removed replica that is not notified of its removal and never joins again.
TEST(OpenMembership, RemovedReplicaIsNotifiedOfItsRemoval)
{
  FakeCluster cluster(7, 1);
  cluster.Start(1);
  CHECK_TRUE(cluster.RunUntil([&] { return cluster.Leader() == 1; }, seconds(10)));
  Consensus::Node node = cluster.Node(1);
  lw::consensus::Membership& membership = node.mMemberships.back().mMembership;
  membership.add_retired_storages(4711);
  Consensus::Settings settings = cluster.mSettings;
  settings.mSelf = Base::InstanceId(1);
  Base::RandomSource random{ 1 };
  lw::consensus::Message hello;
  hello.set_from(2);
  hello.set_from_storage(4711);
  hello.set_to(1);
  hello.mutable_hello();
  const Consensus::Output output =
    Consensus::Receive(node, { Base::TimePoint(seconds(20)), settings, random }, hello);
  LONGS_EQUAL(1, output.mMessages.size());
  CHECK_TRUE(output.mMessages[0].hello_reply().retired());
  LONGS_EQUAL(4711, output.mMessages[0].to_storage());
}

// Guards against a cleared directory that is reported as damaged or keeps the old storage id.
TEST(OpenMembership, ClearedDirectoryOpensAsANewOne)
{
  FakeDisk disk(1);
  const Storage::FilePort port = disk.Port();
  auto opened = Storage::Open(port, "/data", Consensus::StorageId(1));
  CHECK_TRUE(opened.ok());
  lw::consensus::Entry entry;
  entry.set_index(1);
  entry.set_term(1);
  CHECK_TRUE(Storage::AppendEntries(opened->mDirectory, { entry }).ok());
  CHECK_TRUE(Storage::Clear(port, "/data").ok());
  disk.Crash();
  const auto again = Storage::Open(port, "/data", Consensus::StorageId(2));
  CHECK_TRUE(again.ok());
  LONGS_EQUAL(2, again->mRestored.mHardState.mStorage.mValue);
  CHECK_TRUE(again->mRestored.mEntries.empty());
}

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
  std::set<uint64_t> mSilent;
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
                                            [](Consensus::StorageId) { return true; } };
    input.mOpenMembership = true;
    input.mIsUnresponsive = [this](Consensus::StorageId aStorage) {
      return mSilent.count(aStorage.mValue) != 0;
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
TEST(OpenMembership, UnnamedInstanceBecomesAVoter)
{
  mJoining[Base::InstanceId(4)] = Consensus::StorageId(400);
  CHECK_TRUE(Step());
  CHECK_TRUE(Step());
  CHECK_TRUE(Consensus::IsVoter(mMembership, Consensus::StorageId(400)));
  CHECK_FALSE(Step());
}

// Guards against a lost machine that still counts toward the quorum after it was replaced.
TEST(OpenMembership, SilentVoterIsRemovedOnceItIsReplaced)
{
  mSilent.insert(200);
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
  mSilent = { 200, 300 };
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

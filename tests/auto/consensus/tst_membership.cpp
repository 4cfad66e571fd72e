#include "consensus/membership.h"

#include <CppUTest/TestHarness.h>

namespace {

Consensus::Membership
MakeMembership(uint32_t aVoters)
{
  Consensus::Membership membership;
  for (uint32_t instance = 1; instance <= aVoters; ++instance) {
    lw::consensus::Replica* replica = membership.add_replicas();
    replica->set_instance(instance);
    replica->set_storage(instance * uint64_t{ 100 });
    replica->set_voter(true);
  }
  return membership;
}

} // namespace

TEST_GROUP(Membership)
{
  Consensus::Membership mMembership = MakeMembership(3);
  std::map<Base::InstanceId, Consensus::StorageId> mJoining;
  bool mCaughtUp = true;

  /// Applies the next membership change.
  /// \return false if no change was due.
  bool Step()
  {
    const std::vector<Base::InstanceId> known{ Base::InstanceId(1),
                                               Base::InstanceId(2),
                                               Base::InstanceId(3) };
    const auto next = Consensus::NextMembershipChange(
      { mMembership, Consensus::StorageId(100), known, mJoining, [this](Consensus::StorageId) {
         return mCaughtUp;
       } });
    mMembership = next.value_or(mMembership);
    return next.has_value();
  }

  void Join(uint32_t aInstance, uint64_t aStorage)
  {
    mJoining[Base::InstanceId(aInstance)] = Consensus::StorageId(aStorage);
  }
};

// Guards against a commit or an election without a majority, including the even numbers of voters
// that occur during membership changes.
TEST(Membership, QuorumIsAMajorityForEachNumberOfVoters)
{
  const uint64_t needed[] = { 1, 2, 2, 3, 3 };
  for (uint32_t voters = 1; voters <= 5; ++voters) {
    for (uint64_t holding = 0; holding <= voters; ++holding) {
      const bool quorum =
        Consensus::HasQuorum(MakeMembership(voters), [&](Consensus::StorageId aStorage) {
          return aStorage.mValue <= holding * 100;
        });
      CHECK_EQUAL(holding >= needed[voters - 1], quorum);
    }
  }
  CHECK_FALSE(Consensus::HasQuorum(MakeMembership(0), [](Consensus::StorageId) { return true; }));
}

// Guards against a replacement that is a voter at the same time as the replica that it replaces, or
// that replaces it before it has the log.
TEST(Membership, ReplacesInThreeSteps)
{
  Join(3, 301);
  CHECK_TRUE(Step());
  CHECK_TRUE(Consensus::FindReplica(mMembership, Consensus::StorageId(301)) != nullptr);
  CHECK_TRUE(Consensus::IsVoter(mMembership, Consensus::StorageId(300)));
  mCaughtUp = false;
  CHECK_FALSE(Step());
  mCaughtUp = true;
  CHECK_TRUE(Step());
  CHECK_TRUE(Consensus::IsRetired(mMembership, Consensus::StorageId(300)));
  CHECK_FALSE(Consensus::IsVoter(mMembership, Consensus::StorageId(301)));
  CHECK_TRUE(Step());
  CHECK_TRUE(Consensus::IsVoter(mMembership, Consensus::StorageId(301)));
  CHECK_FALSE(Step());
}

// Guards against a removed replica joining again, an unknown instance joining, and a process with
// the leader's instance id replacing the leader.
TEST(Membership, RefusesRetiredUnknownAndOwnInstances)
{
  mMembership.add_retired_storages(302);
  Join(3, 302);
  Join(9, 900);
  Join(1, 101);
  CHECK_FALSE(Step());
}

// Guards against a learner that fails before it has caught up and then blocks its replacement.
TEST(Membership, ReplacesALostLearner)
{
  Join(3, 301);
  CHECK_TRUE(Step());
  mCaughtUp = false;
  Join(3, 302);
  CHECK_TRUE(Step());
  CHECK_TRUE(Consensus::IsRetired(mMembership, Consensus::StorageId(301)));
  CHECK_TRUE(Step());
  CHECK_TRUE(Consensus::FindReplica(mMembership, Consensus::StorageId(302)) != nullptr);
}

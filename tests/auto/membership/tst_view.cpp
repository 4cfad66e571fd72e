#include "membership/view.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;

TEST_GROUP(View){};

// Guards against a change of the owner of keys that the leaving member did not own.
TEST(View, MovesOnlyTheKeysOfALeavingMember)
{
  Membership::View view;
  for (uint32_t id = 1; id <= 5; ++id) {
    Membership::Member member;
    member.mId = Base::InstanceId(id);
    view.mMembers.push_back(member);
  }
  Membership::View after = view;
  after.mMembers[2].mState = Membership::MemberState::Leaving;
  for (uint64_t key = 0; key < 1000; ++key) {
    const Membership::Member* before = Membership::RendezvousMember(view, key);
    const Membership::Member* now = Membership::RendezvousMember(after, key);
    CHECK_TRUE(now->mId != Base::InstanceId(3));
    CHECK_TRUE(before->mId == Base::InstanceId(3) || before->mId == now->mId);
  }
}

// Guards against packets to an address during its hold-down or after its lease.
TEST(View, UsesAnUpstreamOnlyWithinItsLease)
{
  Membership::Upstream upstream;
  const Base::TimePoint start(10s);
  upstream.mUsableFrom = start + 6s;
  upstream.mLeaseEnd = start + 11s;
  CHECK_FALSE(Membership::IsUsable(upstream, start + 5999ms));
  CHECK_TRUE(Membership::IsUsable(upstream, start + 6s));
  CHECK_FALSE(Membership::IsUsable(upstream, start + 11s));
  upstream.mState = Membership::UpstreamState::Draining;
  CHECK_TRUE(Membership::IsUsable(upstream, start + 6s));
  CHECK_FALSE(Membership::TakesNewWork(upstream, start + 6s));
}

// Guards against new work for an upstream of an evacuated availability zone, and against the end of
// its open flows.
TEST(View, UpstreamOfAnEvacuatedZoneIsUsableWithoutNewWork)
{
  const Base::TimePoint now(10s);
  Membership::Upstream upstream;
  upstream.mLeaseEnd = now + 5s;
  upstream.mNewWorkShare = 0;
  CHECK_TRUE(Membership::IsUsable(upstream, now));
  CHECK_FALSE(Membership::TakesNewWork(upstream, now));
  upstream.mNewWorkShare = 0.25;
  CHECK_TRUE(Membership::TakesNewWork(upstream, now));
}

// Guards against an upstream that loses its dispatcher when another availability zone is
// partitioned.
TEST(View, DispatchesFromTheUpstreamsAvailabilityZone)
{
  Membership::View view;
  for (uint32_t id = 1; id <= 6; ++id) {
    Membership::Member member;
    member.mId = Base::InstanceId(id);
    member.mAvailabilityZone = id % 2 == 0 ? "even" : "odd";
    view.mMembers.push_back(member);
  }
  Membership::Upstream upstream;
  upstream.mAvailabilityZone = "even";
  for (uint16_t port = 1; port < 200; ++port) {
    upstream.mEndpoint = { 1, port };
    LONGS_EQUAL(0, Membership::DispatcherOf(view, upstream)->mId.mValue % 2);
  }
  upstream.mAvailabilityZone = "none";
  CHECK_TRUE(Membership::DispatcherOf(view, upstream) != nullptr);
}

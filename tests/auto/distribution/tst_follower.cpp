#include "config/statemachine.h"
#include "distribution/follower.h"

#include <CppUTest/TestHarness.h>

#include <map>

using namespace std::chrono_literals;

namespace {

lw::config::Revision
MakeRevision(uint64_t aVersion)
{
  lw::config::Revision revision;
  revision.set_version(aVersion);
  lw::config::Change* change = revision.mutable_change();
  change->set_base_version(aVersion - 1);
  change->set_operator_id("op");
  change->set_request_number(aVersion);
  lw::config::Service* service = change->mutable_put_service();
  service->set_name("counter");
  service->set_address("192.0.2.1:4000");
  service->set_kind(lw::config::REQUEST);
  return revision;
}

Base::Endpoint
PeerEndpoint(uint32_t aId)
{
  return { aId, 7000 };
}

/// Simulates instances in three availability zones that exchange messages over a lossy network.
struct FakeRegion
{
  struct Instance
  {
    Distribution::Follower mFollower;
    Membership::View mView;
  };

  FakeRegion(uint32_t aCount, double aLoss)
    : mLoss(aLoss)
  {
    Membership::View view;
    for (uint32_t id = 1; id <= aCount; ++id) {
      Membership::Member member;
      member.mId = Base::InstanceId(id);
      member.mAvailabilityZone = std::to_string(id % 3);
      member.mPeerEndpoint = PeerEndpoint(id);
      view.mMembers.push_back(member);
    }
    for (uint32_t id = 1; id <= aCount; ++id) {
      Instance& instance = mInstances[id];
      instance.mView = view;
      instance.mView.mSelf = Base::InstanceId(id);
      instance.mView.mAvailabilityZone = std::to_string(id % 3);
    }
  }

  void Deliver(uint32_t aFrom, const Distribution::Effects& aEffects)
  {
    for (const auto& [to, message] : aEffects.mToPeers) {
      ++mMessages;
      mBytes += message.ByteSizeLong();
      if (Base::NextUnit(mRandom) < mLoss) {
        continue;
      }
      Instance& target = mInstances[to.mAddress];
      const uint64_t before = target.mFollower.mState.version();
      const Distribution::Effects reaction = Distribution::OnPeerMessage(
        target.mFollower, mSettings, target.mView, PeerEndpoint(aFrom), message, mRandom, mNow);
      CHECK_TRUE(target.mFollower.mState.version() >= before);
      Deliver(to.mAddress, reaction);
    }
  }

  void Step(bool aIsControlReachable)
  {
    mNow += 50ms;
    for (auto& [id, instance] : mInstances) {
      for (Membership::Member& member : instance.mView.mMembers) {
        member.mVersionInForce =
          Base::ConfigVersion(mInstances[member.mId.mValue].mFollower.mState.version());
      }
      const Distribution::Effects effects =
        Distribution::Tick(instance.mFollower, mSettings, instance.mView, mRandom, mNow);
      Deliver(id, effects);
      if (effects.mPullFromControl && aIsControlReachable) {
        ++mControlPulls;
        Deliver(id,
                Distribution::OnControlReply(instance.mFollower,
                                             mSettings,
                                             instance.mView,
                                             ControlReply(instance.mFollower.mState.version()),
                                             mRandom,
                                             mNow));
      }
    }
  }

  lw::feed::PullReply ControlReply(uint64_t aAfter) const
  {
    lw::feed::PullReply reply;
    for (uint64_t version = aAfter + 1; version <= mControlVersion; ++version) {
      *reply.add_revisions() = MakeRevision(version);
    }
    return reply;
  }

  size_t CountOutdated() const
  {
    size_t behind = 0;
    for (const auto& [id, instance] : mInstances) {
      behind += instance.mFollower.mState.version() < mControlVersion ? 1 : 0;
    }
    return behind;
  }

  Distribution::FollowerSettings mSettings;
  std::map<uint32_t, Instance> mInstances;
  Base::RandomSource mRandom{ 20261204 };
  Base::TimePoint mNow{ 100s };
  double mLoss = 0;
  uint64_t mControlVersion = 0;
  uint64_t mMessages = 0;
  uint64_t mBytes = 0;
  uint64_t mControlPulls = 0;
};

} // namespace

TEST_GROUP(Follower){};

// Guards against instances that apply a change late or never when messages are lost. The limit is 6
// s at the target size.
TEST(Follower, ReachesAllInstancesWithinSixSeconds)
{
  for (const uint32_t count : { 1U, 2U, 20U, 160U, 450U }) {
    FakeRegion region(count, 0.3);
    for (int i = 0; i < 20; ++i) {
      region.Step(true);
    }
    region.mControlVersion = 3;
    for (int step = 0; step < 120; ++step) {
      region.Step(true);
    }
    LONGS_EQUAL(0, region.CountOutdated());
  }
}

// Guards against every entry instance sending pulls to the control instances.
TEST(Follower, OnlyRelaysAskTheControlInstances)
{
  FakeRegion region(60, 0);
  for (int i = 0; i < 10; ++i) {
    region.Step(true);
  }
  region.mControlVersion = 1;
  for (int i = 0; i < 40; ++i) {
    region.Step(true);
  }
  region.mControlPulls = 0;
  for (int i = 0; i < 20; ++i) {
    region.Step(true);
  }
  // Three availability zones with two relays each, which pull twice per second. Other instances
  // pull only while they receive no updates.
  CHECK_TRUE(region.mControlPulls >= 12);
  CHECK_TRUE(region.mControlPulls <= 120);
}

// Guards against a revision that is applied although an earlier one is missing, for example because
// pushes were reordered.
TEST(Follower, DoesNotApplyARevisionAfterAGap)
{
  FakeRegion region(2, 0);
  FakeRegion::Instance& instance = region.mInstances[1];
  lw::distribution::Message message;
  *message.mutable_revisions()->add_revisions() = MakeRevision(2);
  const Distribution::Effects effects = Distribution::OnPeerMessage(instance.mFollower,
                                                                    region.mSettings,
                                                                    instance.mView,
                                                                    PeerEndpoint(2),
                                                                    message,
                                                                    region.mRandom,
                                                                    region.mNow);
  CHECK_TRUE(absl::IsOutOfRange(effects.mRefused));
  CHECK_FALSE(effects.mStateChanged);
  LONGS_EQUAL(0, instance.mFollower.mState.version());
}

// Guards against a configuration that reverts to an older version when an old snapshot or reply
// arrives late.
TEST(Follower, IgnoresAnOlderSnapshot)
{
  FakeRegion region(1, 0);
  region.mControlVersion = 5;
  region.Step(true);
  FakeRegion::Instance& instance = region.mInstances[1];
  LONGS_EQUAL(5, instance.mFollower.mState.version());
  lw::feed::PullReply old;
  old.mutable_snapshot()->set_version(3);
  const Distribution::Effects effects = Distribution::OnControlReply(
    instance.mFollower, region.mSettings, instance.mView, old, region.mRandom, region.mNow);
  CHECK_FALSE(effects.mStateChanged);
  LONGS_EQUAL(5, instance.mFollower.mState.version());
}

// Guards against instances that do not receive a change from their peers while they cannot reach
// the control instances.
TEST(Follower, CatchesUpFromAPeerWithoutControl)
{
  FakeRegion region(6, 0);
  region.mControlVersion = 300;
  FakeRegion::Instance& first = region.mInstances[1];
  Distribution::OnControlReply(
    first.mFollower, region.mSettings, {}, region.ControlReply(0), region.mRandom, region.mNow);
  for (int i = 0; i < 100; ++i) {
    region.Step(false);
  }
  LONGS_EQUAL(0, region.CountOutdated());
}

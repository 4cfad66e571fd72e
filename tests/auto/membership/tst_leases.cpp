#include "measure/membershipnetwork.h"

#include <CppUTest/TestHarness.h>

using namespace Measure;
using namespace std::chrono_literals;
using Membership::AnnounceOutcome;
using Membership::ClaimState;

namespace {

/// P6: a draining upstream receives no new work after this time.
constexpr Base::Duration kDrainLimit = 3s;
constexpr Base::Duration kLease = 5s;
constexpr Base::Duration kHoldDownTime = 6s;

const Membership::Upstream*
Find(const Membership::View& aView, const Membership::Announcement& aAnnouncement)
{
  return Membership::FindUpstream(aView, aAnnouncement.mEndpoint, aAnnouncement.mGeneration);
}

bool
IsUsableIn(const Membership::View& aView,
           const Membership::Announcement& aAnnouncement,
           Base::TimePoint aNow)
{
  const Membership::Upstream* upstream = Find(aView, aAnnouncement);
  return upstream != nullptr && Membership::IsUsable(*upstream, aNow);
}

/// \return the number of running instances that would send packets to the upstream now.
size_t
CountUsers(const Network& aNetwork, const Membership::Announcement& aAnnouncement)
{
  size_t users = 0;
  for (const auto& [id, node] : aNetwork.mNodes) {
    users +=
      node.mRunning && IsUsableIn(ViewOf(aNetwork, id), aAnnouncement, aNetwork.mNow) ? 1 : 0;
  }
  return users;
}

/// \return the number of running instances that would send new work to the upstream now.
size_t
CountNewWorkSenders(const Network& aNetwork, const Membership::Announcement& aAnnouncement)
{
  size_t starters = 0;
  for (const auto& [id, node] : aNetwork.mNodes) {
    const Membership::View view = ViewOf(aNetwork, id);
    const Membership::Upstream* upstream = Find(view, aAnnouncement);
    const bool starts =
      node.mRunning && upstream != nullptr && Membership::TakesNewWork(*upstream, aNetwork.mNow);
    starters += starts ? 1 : 0;
  }
  return starters;
}

/// Runs the network for aDuration and checks that the two services never use the address at the
/// same time.
void
RunAndCheckSingleUser(Network& aNetwork,
                      const Membership::Announcement& aFirst,
                      const Membership::Announcement& aSecond,
                      Base::Duration aDuration)
{
  const Base::TimePoint end = aNetwork.mNow + aDuration;
  while (aNetwork.mNow < end) {
    Run(aNetwork, 50ms);
    CHECK_FALSE(CountUsers(aNetwork, aFirst) > 0 && CountUsers(aNetwork, aSecond) > 0);
  }
}

} // namespace

TEST_GROUP(Leases){};

// Guards against packets during the hold-down, and against instances that never use an upstream.
TEST(Leases, NewUpstreamIsUsedAfterItsHoldEverywhere)
{
  Network network(1);
  StartCluster(network, 10);
  AddUpstream(network, 1, 3);
  Run(network, 1s);
  const Membership::Announcement announced = network.mUpstreams[0].mAnnouncement;
  const Base::TimePoint usableFrom = ViewOf(network, 3).mUpstreams.at(0).mUsableFrom;
  while (network.mNow < usableFrom - 50ms) {
    Run(network, 50ms);
    LONGS_EQUAL(0, CountUsers(network, announced));
  }
  Run(network, 1s);
  LONGS_EQUAL(10, CountUsers(network, announced));
}

// Guards against new work for a draining upstream (P6) when the drain is announced once and its
// dissemination suffers packet loss.
TEST(Leases, DrainIsKnownEverywhereInTimeDespiteLoss)
{
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    Network network(seed);
    StartCluster(network, 20);
    for (uint32_t number = 1; number <= 10; ++number) {
      AddUpstream(network, number, number);
    }
    Run(network, 8s);
    network.mLoss = 0.3;
    for (FakeUpstream& upstream : network.mUpstreams) {
      // The drain reaches one instance, which is not the lease holder; renewals stop.
      upstream.mSilent = true;
      upstream.mAnnouncement.mState = ClaimState::Draining;
      ++upstream.mAnnouncement.mSequence;
      CHECK_TRUE(AnnounceTo(network, 20, upstream.mAnnouncement) == AnnounceOutcome::Accepted);
    }
    Run(network, kDrainLimit);
    for (const FakeUpstream& upstream : network.mUpstreams) {
      LONGS_EQUAL(0, CountNewWorkSenders(network, upstream.mAnnouncement));
    }
  }
}

// Guards against an older announcement, by sequence or by start, that arrives late at another
// instance and reverts a drain or a leave.
TEST(Leases, OlderAnnouncementNeverWins)
{
  for (uint64_t startId : { 1000U, 999U }) {
    Network network(1);
    StartCluster(network, 8);
    AddUpstream(network, 1, 2);
    Run(network, 8s);
    FakeUpstream& upstream = network.mUpstreams[0];
    upstream.mSilent = true;
    Membership::Announcement older = upstream.mAnnouncement;
    older.mStartId = startId;
    older.mSequence += 1;
    Membership::Announcement drain = upstream.mAnnouncement;
    drain.mState = ClaimState::Draining;
    drain.mSequence += 2;
    AnnounceTo(network, 5, drain);
    AnnounceTo(network, 6, older);
    Run(network, 1500ms);
    LONGS_EQUAL(0, CountNewWorkSenders(network, drain));
    LONGS_EQUAL(8, CountUsers(network, drain));
    CHECK_TRUE(AnnounceTo(network, 7, older) == AnnounceOutcome::Stale);

    Membership::Announcement leave = drain;
    leave.mState = ClaimState::Left;
    ++leave.mSequence;
    AnnounceTo(network, 4, leave);
    AnnounceTo(network, 3, drain);
    Run(network, 1500ms);
    LONGS_EQUAL(0, CountUsers(network, drain));
    for (int i = 0; i < 3; ++i) {
      Run(network, 15s);
      CHECK_TRUE(AnnounceTo(network, 8, drain) == AnnounceOutcome::Stale);
    }
  }
}

// Guards against a lease that outlives an upstream without renewals on any instance, and against a
// lease that ends while the upstream renews it.
TEST(Leases, SilentUpstreamLosesItsLeaseEverywhere)
{
  for (double loss : { 0.0, 0.3 }) {
    Network network(2);
    StartCluster(network, 20);
    network.mLoss = loss;
    AddUpstream(network, 1, 2);
    Run(network, 10s);
    for (int i = 0; i < 400; ++i) {
      Run(network, 50ms);
      LONGS_EQUAL(20, CountUsers(network, network.mUpstreams[0].mAnnouncement));
    }
    FakeUpstream& upstream = network.mUpstreams[0];
    upstream.mSilent = true;
    const Base::TimePoint lastRenewal = upstream.mNext - 1s;
    Run(network, lastRenewal + kLease + 50ms - network.mNow);
    LONGS_EQUAL(0, CountUsers(network, upstream.mAnnouncement));
  }
}

// Guards against renewals that are lost between the called instance and the lease holder, and
// against a holder that changes with each call.
TEST(Leases, RenewalsThroughChangingInstancesKeepTheLease)
{
  Network network(1);
  StartCluster(network, 20);
  AddUpstream(network, 1, 2).mRotates = true;
  Run(network, 8s);
  network.mLoss = 0.1;
  for (int i = 0; i < 1200; ++i) {
    Run(network, 50ms);
    LONGS_EQUAL(20, CountUsers(network, network.mUpstreams[0].mAnnouncement));
  }
  uint64_t takeovers = 0;
  for (const auto& [id, node] : network.mNodes) {
    takeovers += node.mState.mCounts.mTakeovers;
  }
  CHECK_TRUE(takeovers < 30);
}

// Guards against flows that break on other instances because the lease holder crashed, also if it
// restarts at once with an empty state.
TEST(Leases, CrashOfTheHolderInterruptsNoUpstream)
{
  for (bool restarts : { false, true }) {
    for (uint64_t seed = 1; seed <= 5; ++seed) {
      Network network(seed);
      StartCluster(network, 20);
      for (uint32_t number = 1; number <= 5; ++number) {
        AddUpstream(network, number, 9);
      }
      Run(network, 8s);
      StopNode(network, 9);
      if (restarts) {
        Run(network, 500ms);
        StartNode(network, 9, { 1, 2 });
      }
      for (int i = 0; i < 200; ++i) {
        Run(network, 50ms);
        for (const FakeUpstream& upstream : network.mUpstreams) {
          CHECK_TRUE(CountUsers(network, upstream.mAnnouncement) >= 19);
        }
      }
    }
  }
}

// Guards against packets to a restarted upstream during its hold-down, and against a restarted
// upstream that is treated as already warmed up.
TEST(Leases, RestartedUpstreamWaitsAndCountsAsCold)
{
  Network network(1);
  StartCluster(network, 8);
  AddUpstream(network, 1, 2);
  Run(network, 20s);
  FakeUpstream& upstream = network.mUpstreams[0];
  CHECK_TRUE(network.mNow - ViewOf(network, 5).mUpstreams.at(0).mStartedAt > 15s);
  upstream.mSilent = true;
  Run(network, 1s);
  upstream.mSilent = false;
  upstream.mAnnouncement.mStartId = 2000;
  upstream.mAnnouncement.mSequence = 0;
  Run(network, 1500ms);
  LONGS_EQUAL(0, CountUsers(network, upstream.mAnnouncement));
  Run(network, kHoldDownTime);
  LONGS_EQUAL(8, CountUsers(network, upstream.mAnnouncement));
  CHECK_TRUE(AllViews(network, [&network](const Membership::View& aView) {
    const Membership::Upstream& known = aView.mUpstreams.at(0);
    return known.mStartId == 2000 && network.mNow - known.mStartedAt < 8s;
  }));
}

// Guards against packets of one service to an address that now belongs to another service (P2),
// whichever instance receives the second announcement.
TEST(Leases, AddressIsRefusedInAnotherServiceWhileItsLeaseLives)
{
  for (uint32_t second : { 2U, 6U }) {
    Network network(second);
    StartCluster(network, 8);
    AddUpstream(network, 1, 2);
    Run(network, 8s);
    FakeUpstream& upstream = network.mUpstreams[0];
    const Membership::Announcement first = upstream.mAnnouncement;
    upstream.mAnnouncement = MakeAnnouncement(1, 2);
    upstream.mAnnouncement.mStartId = 3000;
    upstream.mVia = Base::InstanceId(second);
    RunAndCheckSingleUser(network, first, upstream.mAnnouncement, 2s);
    CHECK_TRUE(upstream.mLast == AnnounceOutcome::AddressInUse);
    RunAndCheckSingleUser(network, first, upstream.mAnnouncement, kLease + kHoldDownTime + 2s);
    LONGS_EQUAL(8, CountUsers(network, upstream.mAnnouncement));
    LONGS_EQUAL(0, CountUsers(network, first));
  }
}

// Guards against address reuse through an instance that does not know the first service because it
// has just started or because it is partitioned.
TEST(Leases, AddressIsNotReusedThroughAnInstanceWithoutMemory)
{
  for (bool partitioned : { false, true }) {
    Network network(1);
    StartCluster(network, 8);
    AddUpstream(network, 1, 2);
    Run(network, 8s);
    const Membership::Announcement first = network.mUpstreams[0].mAnnouncement;
    StartNode(network, 9, { 1, 2 });
    network.mNodes.at(9).mSide = partitioned ? 1 : 0;
    FakeUpstream& conflicting = AddUpstream(network, 1, 9);
    conflicting.mAnnouncement = MakeAnnouncement(1, 2);
    conflicting.mAnnouncement.mStartId = 4000;
    RunAndCheckSingleUser(network, first, network.mUpstreams[1].mAnnouncement, 4s);
    network.mNodes.at(9).mSide = 0;
    RunAndCheckSingleUser(network, first, network.mUpstreams[1].mAnnouncement, 15s);
    LONGS_EQUAL(9, CountUsers(network, first));
    CHECK_TRUE(network.mUpstreams[1].mLast == AnnounceOutcome::AddressInUse);
  }
}

// Guards against a paused process that resumes with an outdated view, and against datagrams that
// were queued in its socket and appear recent.
TEST(Leases, StoppedInstanceDoesNotUseAReusedAddress)
{
  Network network(1);
  StartCluster(network, 8);
  AddUpstream(network, 1, 2);
  Run(network, 30s);
  FakeUpstream& upstream = network.mUpstreams[0];
  const Membership::Announcement first = upstream.mAnnouncement;
  network.mNodes.at(7).mPaused = true;
  Run(network, 1s);
  upstream.mAnnouncement = MakeAnnouncement(1, 2);
  upstream.mAnnouncement.mStartId = 3000;
  Run(network, kLease + kHoldDownTime + 2s);
  CHECK_TRUE(CountUsers(network, upstream.mAnnouncement) >= 7);
  network.mNodes.at(7).mPaused = false;
  for (int i = 0; i < 1000; ++i) {
    Run(network, 5ms);
    LONGS_EQUAL(0, CountUsers(network, first));
  }
}

// Guards against an upstream that keeps its lease under the old generation after its service was
// removed and created again.
TEST(Leases, NewServiceGenerationReplacesTheOldOne)
{
  Network network(1);
  StartCluster(network, 5);
  AddUpstream(network, 1, 2);
  Run(network, 8s);
  const Membership::Announcement first = network.mUpstreams[0].mAnnouncement;
  for (auto& [id, node] : network.mNodes) {
    Membership::ReleaseRemovedServices(node.mState, { Base::ServiceGeneration(2) }, network.mNow);
  }
  network.mUpstreams[0].mAnnouncement.mGeneration = Base::ServiceGeneration(2);
  RunAndCheckSingleUser(
    network, first, network.mUpstreams[0].mAnnouncement, kLease + kHoldDownTime + 2s);
  LONGS_EQUAL(5, CountUsers(network, network.mUpstreams[0].mAnnouncement));
}

// Guards against decisions that depend on another clock than the runtime clock: leases do not end
// while it is paused, and end when it is advanced.
TEST(Leases, FollowTheRuntimeClock)
{
  Base::RuntimeClock::Pause();
  Base::RandomSource random{ 1 };
  const Membership::Settings settings;
  const Membership::Identity identity{
    Base::InstanceId(1), Base::Incarnation(1), EndpointOf(1), "", ""
  };
  const auto now = [] { return Base::RuntimeClock::now(); };
  Membership::State state = Membership::Start(identity, now(), random);
  Base::RuntimeClock::Advance(settings.mJoinWait);
  Membership::Tick(state, settings, now(), random);
  Membership::Announcement announcement = MakeAnnouncement(1, 1);
  for (int i = 0; i < 7; ++i) {
    ++announcement.mSequence;
    CHECK_TRUE(Membership::Announce(state, settings, announcement, now()).mOutcome ==
               AnnounceOutcome::Accepted);
    Base::RuntimeClock::Advance(1s);
    Membership::Tick(state, settings, now(), random);
  }
  for (int i = 0; i < 1000; ++i) {
    Membership::Tick(state, settings, now(), random);
  }
  CHECK_TRUE(IsUsableIn(Membership::BuildView(state, now()), announcement, now()));
  Base::RuntimeClock::Advance(kLease);
  CHECK_FALSE(IsUsableIn(Membership::BuildView(state, now()), announcement, now()));
  Membership::Tick(state, settings, now(), random);
  LONGS_EQUAL(1, state.mCounts.mExpired);
  Base::RuntimeClock::Resume();
}

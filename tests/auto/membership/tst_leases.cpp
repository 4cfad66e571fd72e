#include "measure/membershipnetwork.h"

#include <CppUTest/TestHarness.h>

using namespace Measure;
using namespace std::chrono_literals;
using Membership::AnnounceOutcome;
using Membership::ClaimState;

namespace {

/// P6: a draining upstream gets no new work after this time.
constexpr Base::Duration kDrainLimit = 3s;
constexpr Base::Duration kLease = 5s;
constexpr Base::Duration kHold = 6s;

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

/// Number of running instances that would send packets to the upstream now.
size_t
UsersOf(const Network& aNetwork, const Membership::Announcement& aAnnouncement)
{
  size_t users = 0;
  for (const auto& [id, node] : aNetwork.mNodes) {
    users +=
      node.mRunning && IsUsableIn(ViewOf(aNetwork, id), aAnnouncement, aNetwork.mNow) ? 1 : 0;
  }
  return users;
}

/// Number of running instances that would send a first packet to the upstream now.
size_t
StartersOf(const Network& aNetwork, const Membership::Announcement& aAnnouncement)
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

/// Runs for a time and checks that never two services use the address at the same moment.
void
RunWithOneUser(Network& aNetwork,
               const Membership::Announcement& aFirst,
               const Membership::Announcement& aSecond,
               Base::Duration aDuration)
{
  const Base::TimePoint end = aNetwork.mNow + aDuration;
  while (aNetwork.mNow < end) {
    Run(aNetwork, 50ms);
    CHECK_FALSE(UsersOf(aNetwork, aFirst) > 0 && UsersOf(aNetwork, aSecond) > 0);
  }
}

} // namespace

TEST_GROUP(Leases){};

// Guards against packets before the hold time is over, and against an upstream that some instance
// never uses.
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
    LONGS_EQUAL(0, UsersOf(network, announced));
  }
  Run(network, 1s);
  LONGS_EQUAL(10, UsersOf(network, announced));
}

// Guards against new work for a draining upstream (P6) when the only announcement of the drain and
// its dissemination suffer loss.
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
      LONGS_EQUAL(0, StartersOf(network, upstream.mAnnouncement));
    }
  }
}

// Guards against an older announcement that arrives late at another instance and undoes a drain or
// a leave, with an earlier sequence and with an earlier start.
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
    LONGS_EQUAL(0, StartersOf(network, drain));
    LONGS_EQUAL(8, UsersOf(network, drain));
    CHECK_TRUE(AnnounceTo(network, 7, older) == AnnounceOutcome::Stale);

    Membership::Announcement leave = drain;
    leave.mState = ClaimState::Left;
    ++leave.mSequence;
    AnnounceTo(network, 4, leave);
    AnnounceTo(network, 3, drain);
    Run(network, 1500ms);
    LONGS_EQUAL(0, UsersOf(network, drain));
    for (int i = 0; i < 3; ++i) {
      Run(network, 15s);
      CHECK_TRUE(AnnounceTo(network, 8, drain) == AnnounceOutcome::Stale);
    }
  }
}

// Guards against a lease that outlives a silent upstream anywhere, and against one that ends while
// the upstream renews.
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
      LONGS_EQUAL(20, UsersOf(network, network.mUpstreams[0].mAnnouncement));
    }
    FakeUpstream& upstream = network.mUpstreams[0];
    upstream.mSilent = true;
    const Base::TimePoint lastRenewal = upstream.mNext - 1s;
    Run(network, lastRenewal + kLease + 50ms - network.mNow);
    LONGS_EQUAL(0, UsersOf(network, upstream.mAnnouncement));
  }
}

// Guards against renewals that are lost on the way from the called instance to the lease holder,
// and against a holder that changes with each call.
TEST(Leases, RenewalsThroughChangingInstancesKeepTheLease)
{
  Network network(1);
  StartCluster(network, 20);
  AddUpstream(network, 1, 2).mRotates = true;
  Run(network, 8s);
  network.mLoss = 0.1;
  for (int i = 0; i < 1200; ++i) {
    Run(network, 50ms);
    LONGS_EQUAL(20, UsersOf(network, network.mUpstreams[0].mAnnouncement));
  }
  uint64_t takeovers = 0;
  for (const auto& [id, node] : network.mNodes) {
    takeovers += node.mState.mCounts.mTakeovers;
  }
  CHECK_TRUE(takeovers < 30);
}

// Guards against flows that break on other instances because the lease holder crashed, also when
// it starts again at once without memory.
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
          CHECK_TRUE(UsersOf(network, upstream.mAnnouncement) >= 19);
        }
      }
    }
  }
}

// Guards against packets to a restarted upstream before its hold, and against a restarted one that
// passes for warm.
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
  LONGS_EQUAL(0, UsersOf(network, upstream.mAnnouncement));
  Run(network, kHold);
  LONGS_EQUAL(8, UsersOf(network, upstream.mAnnouncement));
  CHECK_TRUE(AllViews(network, [&network](const Membership::View& aView) {
    const Membership::Upstream& known = aView.mUpstreams.at(0);
    return known.mStartId == 2000 && network.mNow - known.mStartedAt < 8s;
  }));
}

// Guards against packets of one service that reach an address which now belongs to another (P2),
// whichever instance gets the second announcement.
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
    RunWithOneUser(network, first, upstream.mAnnouncement, 2s);
    CHECK_TRUE(upstream.mLast == AnnounceOutcome::AddressInUse);
    RunWithOneUser(network, first, upstream.mAnnouncement, kLease + kHold + 2s);
    LONGS_EQUAL(8, UsersOf(network, upstream.mAnnouncement));
    LONGS_EQUAL(0, UsersOf(network, first));
  }
}

// Guards against reuse through an instance that knows nothing of the first service: one that has
// just started, and one that a partition keeps from hearing of it.
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
    FakeUpstream& intruder = AddUpstream(network, 1, 9);
    intruder.mAnnouncement = MakeAnnouncement(1, 2);
    intruder.mAnnouncement.mStartId = 4000;
    RunWithOneUser(network, first, network.mUpstreams[1].mAnnouncement, 4s);
    network.mNodes.at(9).mSide = 0;
    RunWithOneUser(network, first, network.mUpstreams[1].mAnnouncement, 15s);
    LONGS_EQUAL(9, UsersOf(network, first));
    CHECK_TRUE(network.mUpstreams[1].mLast == AnnounceOutcome::AddressInUse);
  }
}

// Guards against a stopped process that continues with its old table, and against datagrams that
// waited in its socket and look fresh.
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
  Run(network, kLease + kHold + 2s);
  CHECK_TRUE(UsersOf(network, upstream.mAnnouncement) >= 7);
  network.mNodes.at(7).mPaused = false;
  for (int i = 0; i < 1000; ++i) {
    Run(network, 5ms);
    LONGS_EQUAL(0, UsersOf(network, first));
  }
}

// Guards against an upstream of a removed service that keeps its lease under the old generation
// after the service was created again.
TEST(Leases, NewServiceGenerationReplacesTheOldOne)
{
  Network network(1);
  StartCluster(network, 5);
  AddUpstream(network, 1, 2);
  Run(network, 8s);
  const Membership::Announcement first = network.mUpstreams[0].mAnnouncement;
  for (auto& [id, node] : network.mNodes) {
    Membership::KeepServices(node.mState, { Base::ServiceGeneration(2) }, network.mNow);
  }
  network.mUpstreams[0].mAnnouncement.mGeneration = Base::ServiceGeneration(2);
  RunWithOneUser(network, first, network.mUpstreams[0].mAnnouncement, kLease + kHold + 2s);
  LONGS_EQUAL(5, UsersOf(network, network.mUpstreams[0].mAnnouncement));
}

// Guards against decisions that depend on anything but the runtime clock: while it is paused no
// lease ends, and after an advance leases have ended by it.
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

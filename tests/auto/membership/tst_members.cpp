#include "measure/membershipnetwork.h"

#include <CppUTest/TestHarness.h>

using namespace Measure;
using namespace std::chrono_literals;

namespace {

/// Time in which a crashed instance must be gone everywhere.
constexpr Base::Duration kDetectionLimit = 6s;

bool
Knows(const Membership::View& aView, uint32_t aId)
{
  return Membership::FindMember(aView, Base::InstanceId(aId)) != nullptr;
}

uint64_t
Deaths(const Network& aNetwork)
{
  uint64_t deaths = 0;
  for (const auto& [id, node] : aNetwork.mNodes) {
    deaths += node.mState.mCounts.mDeaths;
  }
  return deaths;
}

bool
AllKnow(const Network& aNetwork, size_t aCount)
{
  return AllViews(
    aNetwork, [aCount](const Membership::View& aView) { return aView.mMembers.size() == aCount; });
}

std::optional<Base::Duration>
TimeUntilAllKnow(Network& aNetwork, Base::Duration aLimit, size_t aCount)
{
  return RunUntil(aNetwork, aLimit, [&aNetwork, aCount] { return AllKnow(aNetwork, aCount); });
}

Base::Incarnation
IncarnationOf(const Network& aNetwork, uint32_t aId)
{
  return ViewOf(aNetwork, aId).mIncarnation;
}

bool
AllHaveIncarnation(const Network& aNetwork, uint32_t aId, Base::Incarnation aIncarnation)
{
  return AllViews(aNetwork, [&](const Membership::View& aView) {
    const Membership::Member* member = Membership::FindMember(aView, Base::InstanceId(aId));
    return member != nullptr && member->mIncarnation == aIncarnation;
  });
}

} // namespace

TEST_GROUP(Members){};

// Guards against a live member declared dead because probes or their answers are lost or overtake
// each other.
TEST(Members, SurviveLostAndReorderedProbes)
{
  for (uint64_t seed : { 1, 2, 3 }) {
    Network network(seed);
    StartCluster(network, 12);
    network.mLoss = 0.3;
    Run(network, 60s);
    LONGS_EQUAL(0, Deaths(network));
    CHECK_TRUE(AllKnow(network, 12));
  }
}

// Guards against a late answer that is taken for the answer to a newer probe, and against one
// answer that ends two probes.
TEST(Members, LateAnswersEndNoNewerProbe)
{
  Network network(1);
  StartCluster(network, 2);
  Node& node = network.mNodes.at(1);
  StopNode(network, 2);
  CHECK_TRUE(RunUntil(network, 3s, [&node] { return !node.mState.mProbes.empty(); }).has_value());
  lw::membership::Message late;
  late.set_ack(node.mState.mProbes.front().mSequence - 1);
  late.set_clock_ms(1);
  const Membership::Sender sender{ Base::InstanceId(2), IncarnationOf(network, 2), EndpointOf(2) };
  Membership::HandleMessage(node.mState, node.mSettings, sender, late, network.mNow);
  CHECK_FALSE(node.mState.mProbes.empty());
}

// Guards against crashed instances that stay in some view, with one crash and with two at once.
TEST(Members, CrashedOnesAreGoneInTime)
{
  for (uint64_t seed : { 1, 2, 3, 4, 5, 6 }) {
    for (uint32_t count : { 3U, 5U, 20U }) {
      Network network(seed);
      StartCluster(network, count);
      Run(network, std::chrono::milliseconds(Base::NextBelow(network.mRandom, 2000)));
      StopNode(network, count);
      if (count > 3) {
        StopNode(network, count - 1);
      }
      const size_t left = count > 3 ? count - 2 : count - 1;
      CHECK_TRUE(TimeUntilAllKnow(network, kDetectionLimit, left).has_value());
    }
  }
}

// Guards against a member that stays dead after its process was stopped and went on.
TEST(Members, ComeBackAfterTheyWereDeclaredDead)
{
  Network network(1);
  StartCluster(network, 8);
  const Base::Incarnation incarnation = IncarnationOf(network, 3);
  network.mNodes.at(3).mPaused = true;
  Run(network, 10s);
  CHECK_FALSE(Knows(ViewOf(network, 1), 3));
  network.mNodes.at(3).mPaused = false;
  CHECK_TRUE(TimeUntilAllKnow(network, 5s, 8).has_value());
  CHECK_TRUE(AllHaveIncarnation(network, 3, incarnation));
  // The stopped process must not take its own pause for the death of all others.
  LONGS_EQUAL(0, network.mNodes.at(3).mState.mCounts.mDeaths);
}

// Guards against tickets of an earlier run: whether the new random incarnation is larger or
// smaller, it must replace the earlier one everywhere.
TEST(Members, RestartUnderTheSameIdReplacesTheEarlierRun)
{
  for (uint64_t seed = 1; seed <= 6; ++seed) {
    Network network(seed);
    StartCluster(network, 6);
    StopNode(network, 4);
    Run(network, 1s);
    StartNode(network, 4, { 1, 2 });
    const Base::Incarnation incarnation = IncarnationOf(network, 4);
    Run(network, 4s);
    CHECK_TRUE(AllHaveIncarnation(network, 4, incarnation));
    CHECK_TRUE(AllKnow(network, 6));
  }
}

// Guards against a graceful leave that waits for failure detection or loses the successor's name.
TEST(Members, LeaveNamesTheSuccessorEverywhere)
{
  Network network(1);
  StartCluster(network, 10);
  network.mLoss = 0.1;
  Node& leaving = network.mNodes.at(7);
  Membership::BeginLeave(leaving.mState, Base::InstanceId(8));
  Run(network, 2s);
  CHECK_TRUE(AllViews(network, [](const Membership::View& aView) {
    const Membership::Member* member = Membership::FindMember(aView, Base::InstanceId(7));
    return member != nullptr && member->mState == Membership::MemberState::Leaving &&
           member->mSuccessor == Base::InstanceId(8);
  }));
  Send(network, 7, Membership::FinishLeave(leaving.mState, network.mNow, leaving.mRandom));
  StopNode(network, 7);
  CHECK_TRUE(TimeUntilAllKnow(network, 2s, 9).has_value());
  LONGS_EQUAL(0, Deaths(network));
  CHECK_TRUE(AllViews(network, [](const Membership::View& aView) {
    return aView.mDeparted.size() == 1 && aView.mDeparted[0].mSuccessor == Base::InstanceId(8);
  }));
}

// Guards against an instance that can join only if its first seed runs.
TEST(Members, OneLiveSeedIsEnoughToJoin)
{
  Network network(1);
  StartCluster(network, 4);
  StopNode(network, 1);
  Run(network, 7s);
  StartNode(network, 9, { 1, 2, 20 });
  CHECK_TRUE(TimeUntilAllKnow(network, 3s, 4).has_value());
}

// Guards against two halves that stay apart after a partition, also when the seeds are on one side.
TEST(Members, HealAfterAPartition)
{
  Network network(1);
  StartCluster(network, 10);
  for (uint32_t id = 6; id <= 10; ++id) {
    network.mNodes.at(id).mSide = 1;
  }
  Run(network, 20s);
  CHECK_TRUE(AllKnow(network, 5));
  for (auto& [id, node] : network.mNodes) {
    node.mSide = 0;
  }
  CHECK_TRUE(TimeUntilAllKnow(network, 10s, 10).has_value());
  Run(network, 10s);
  CHECK_TRUE(AllKnow(network, 10));
}

// Guards against a version in force that is lost on the way or that goes back.
TEST(Members, VersionsInForceReachEveryInstance)
{
  Network network(1);
  StartCluster(network, 10);
  network.mLoss = 0.1;
  Membership::SetVersionInForce(network.mNodes.at(2).mState, Base::ConfigVersion(7));
  Membership::SetVersionInForce(network.mNodes.at(5).mState, Base::ConfigVersion(6));
  Run(network, 4s);
  CHECK_TRUE(AllViews(network, [](const Membership::View& aView) {
    return aView.mMembers[1].mVersionInForce == Base::ConfigVersion(7) &&
           aView.mMembers[4].mVersionInForce == Base::ConfigVersion(6) &&
           aView.mMembers[0].mVersionInForce == Base::ConfigVersion(0);
  }));
  CHECK_TRUE(Membership::NewestVersion(network.mNodes.at(9).mState) == Base::ConfigVersion(7));
}

// Guards against a crash or a state change by datagrams with arbitrary content.
TEST(Members, RejectMalformedDigests)
{
  Network network(1);
  StartCluster(network, 3);
  Node& node = network.mNodes.at(1);
  const Membership::Sender sender{ Base::InstanceId(2), IncarnationOf(network, 2), EndpointOf(2) };
  for (int i = 0; i < 5000; ++i) {
    std::string bytes;
    for (uint64_t length = Base::NextBelow(network.mRandom, 24); length > 0; --length) {
      bytes.push_back(static_cast<char>(Base::NextRandom(network.mRandom)));
    }
    lw::membership::Message message;
    message.set_clock_ms(1000000);
    message.set_joining(true);
    message.set_digest(bytes);
    message.set_version_differences(bytes.substr(bytes.size() / 2));
    Membership::HandleMessage(node.mState, node.mSettings, sender, message, network.mNow);
  }
  CHECK_TRUE(node.mState.mCounts.mRejectedMessages > 1000);
  LONGS_EQUAL(3, node.mState.mRecords.size());
}

// Guards against datagrams above the limit, which would be fragmented, when many records change.
TEST(Members, DatagramsStayWithinTheirLimit)
{
  Network network(1);
  StartCluster(network, 40);
  for (uint32_t number = 1; number <= 400; ++number) {
    AddUpstream(network, number, number <= 200 ? 1 : 1 + number % 40);
  }
  Run(network, 3s);
  network.mLoss = 0.3;
  StopNode(network, 40);
  Run(network, 10s);
  CHECK_TRUE(network.mLargestDatagram <= 1300);
  network.mLoss = 0;
  Run(network, 8s);
  // All claims of an instance that holds more than one datagram can carry arrive too.
  CHECK_TRUE(AllViews(
    network, [](const Membership::View& aView) { return aView.mUpstreams.size() == 400; }));
}

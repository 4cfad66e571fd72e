#include "measure/membershipnetwork.h"
#include "membership/compose.h"

#include <CppUTest/TestHarness.h>

using namespace Measure;
using namespace std::chrono_literals;

namespace {

/// Time within which a crashed instance must be removed from all views.
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

// Guards against a live member that is declared dead because probes or answers are lost or
// reordered.
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

// Guards against a late answer that is matched to a newer probe, and against one answer that ends
// two probes.
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

// Guards against crashed instances that stay in a view, with one crash and with two simultaneous
// crashes.
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

// Guards against a member that stays dead after its process was paused and resumed.
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
  // The paused process must not declare the other members dead because of its own pause.
  LONGS_EQUAL(0, network.mNodes.at(3).mState.mCounts.mDeaths);
}

// Guards against tickets of an earlier run. The new incarnation is random and must replace the
// earlier one on all instances, whether it is larger or smaller.
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

// Guards against a graceful leave that is noticed only by failure detection or that loses the
// successor.
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

// Guards against an instance that can join only through its first seed.
TEST(Members, OneLiveSeedIsEnoughToJoin)
{
  Network network(1);
  StartCluster(network, 4);
  StopNode(network, 1);
  Run(network, 7s);
  StartNode(network, 9, { 1, 2, 20 });
  CHECK_TRUE(TimeUntilAllKnow(network, 3s, 4).has_value());
}

// Guards against two halves that stay separate after a partition has healed, also if all seeds are
// on one side.
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

// Guards against a version in force that is lost during dissemination or that decreases.
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

// Guards against datagrams with arbitrary content that crash the instance or change its state.
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

// Guards against digests that exceed the limit in a region with more members than fit into one
// digest and with mixed versions in force, and against a digest without the entry of the sender.
TEST(Members, DigestsOfLargeRegionsStayWithinTheirLimit)
{
  Network network(1);
  StartNode(network, 1, {});
  Node& node = network.mNodes.at(1);
  for (uint32_t id = 2; id <= 900; ++id) {
    Membership::Record& record = node.mState.mRecords[Base::InstanceId(id)];
    record.mId = Base::InstanceId(id);
    record.mCopiedCounter = 1;
    record.mLeaseHeartbeat = network.mNow - std::chrono::milliseconds(id % 7 * 100);
    record.mVersionInForce = Base::ConfigVersion(100 + id % 3);
  }
  const lw::membership::Message message =
    Membership::MakeGossip(node.mState, node.mSettings, network.mNow);
  CHECK_TRUE(message.ByteSizeLong() <= node.mSettings.mMaxPayload);
  LONGS_EQUAL(900, message.members());
  // Gap of 1, run length, then the entry of the sender with age 0.
  LONGS_EQUAL(1, message.digest()[0]);
  LONGS_EQUAL(0, message.digest()[2]);
}

// Guards against datagrams that exceed the limit, and would be fragmented, when many records
// change.
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
  // All claims arrive, also those of an instance whose claims exceed one datagram.
  CHECK_TRUE(AllViews(
    network, [](const Membership::View& aView) { return aView.mUpstreams.size() == 400; }));
}

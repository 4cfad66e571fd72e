#include "measure/membershipnetwork.h"

#include <CppUTest/TestHarness.h>

using namespace Measure;
using namespace std::chrono_literals;

namespace {

constexpr uint32_t kInstances = 7;
constexpr uint32_t kAddresses = 4;
constexpr Base::Duration kLease = 5s;
/// Lease error due to datagram delays and rounding. Must be covered by the margin of the hold-down.
constexpr Base::Duration kLeaseError = 100ms;

/// Time of the last successful announcement of each address and generation.
using LastCalls = std::map<std::pair<Base::Endpoint, Base::ServiceGeneration>, Base::TimePoint>;

/// Crashes, restarts, pauses, resumes, partitions or heals a random instance, or changes the packet
/// loss.
void
InjectInstanceFault(Network& aNetwork)
{
  const auto id = static_cast<uint32_t>(1 + Base::NextBelow(aNetwork.mRandom, kInstances));
  Node& node = aNetwork.mNodes.at(id);
  switch (Base::NextBelow(aNetwork.mRandom, 6)) {
    case 0:
      StopNode(aNetwork, id);
      break;
    case 1:
      StartNode(aNetwork, id, { 1, 2, 3 });
      break;
    case 2:
      node.mPaused = !node.mPaused;
      break;
    case 3:
      node.mSide = 1 - node.mSide;
      break;
    case 4:
      for (auto& [other, healed] : aNetwork.mNodes) {
        healed.mSide = 0;
      }
      break;
    default:
      aNetwork.mLoss = 0.3 * Base::NextUnit(aNetwork.mRandom);
  }
}

/// Replaces the process on an address by one of the other service, stops or resumes its
/// announcements, or makes it announce itself to another instance.
void
InjectUpstreamFault(Network& aNetwork)
{
  FakeUpstream& upstream = aNetwork.mUpstreams[Base::NextBelow(aNetwork.mRandom, kAddresses)];
  const uint64_t choice = Base::NextBelow(aNetwork.mRandom, 4);
  if (choice < 2) {
    const uint64_t startId = upstream.mAnnouncement.mStartId + 1;
    const auto number = static_cast<uint32_t>(&upstream - aNetwork.mUpstreams.data() + 1);
    upstream.mAnnouncement =
      MakeAnnouncement(number, 3 - upstream.mAnnouncement.mGeneration.mValue);
    upstream.mAnnouncement.mStartId = startId;
  } else if (choice == 2) {
    upstream.mSilent = !upstream.mSilent;
  }
  upstream.mVia =
    Base::InstanceId(static_cast<uint32_t>(1 + Base::NextBelow(aNetwork.mRandom, kInstances)));
}

void
RecordAcceptedCalls(const Network& aNetwork, LastCalls& aLastCalls)
{
  for (const FakeUpstream& upstream : aNetwork.mUpstreams) {
    const bool called = upstream.mNext == aNetwork.mNow + 1s && !upstream.mSilent;
    if (called && upstream.mLast == Membership::AnnounceOutcome::Accepted) {
      const Membership::Announcement& made = upstream.mAnnouncement;
      aLastCalls[{ made.mEndpoint, made.mGeneration }] = aNetwork.mNow;
    }
  }
}

/// Checks that all running instances use an address for one service only, and only while its lease
/// is valid.
void
CheckAddressUse(const Network& aNetwork, const LastCalls& aLastCalls)
{
  std::map<Base::Endpoint, Base::ServiceGeneration> users;
  for (const auto& [id, node] : aNetwork.mNodes) {
    if (!node.mRunning || node.mPaused) {
      continue;
    }
    for (const Membership::Upstream& upstream : ViewOf(aNetwork, id).mUpstreams) {
      if (!Membership::IsUsable(upstream, aNetwork.mNow)) {
        continue;
      }
      const auto used = users.emplace(upstream.mEndpoint, upstream.mGeneration);
      CHECK_TRUE(used.first->second == upstream.mGeneration);
      const auto called = aLastCalls.find({ upstream.mEndpoint, upstream.mGeneration });
      CHECK_TRUE(called != aLastCalls.end());
      CHECK_TRUE(aNetwork.mNow - called->second <= kLease + kLeaseError);
    }
  }
}

} // namespace

TEST_GROUP(AddressReuse){};

// Guards against an address that two services use at the same time, and against a lease that
// outlives its upstream, under random combinations of crashes, restarts, paused processes,
// partitions, packet loss and processes that replace each other on one address (P2).
TEST(AddressReuse, NeverTwoServicesUnderRandomFailures)
{
  for (uint64_t seed = 1; seed <= 12; ++seed) {
    Network network(seed);
    LastCalls lastCalls;
    StartCluster(network, kInstances);
    for (uint32_t number = 1; number <= kAddresses; ++number) {
      AddUpstream(network, number, number);
    }
    Base::TimePoint nextFault = network.mNow + 8s;
    for (const Base::TimePoint end = network.mNow + 150s; network.mNow < end;) {
      Run(network, 5ms);
      RecordAcceptedCalls(network, lastCalls);
      if ((network.mNow - end) % 50ms == 0ms) {
        CheckAddressUse(network, lastCalls);
      }
      if (network.mNow >= nextFault) {
        InjectInstanceFault(network);
        InjectUpstreamFault(network);
        nextFault =
          network.mNow + std::chrono::milliseconds(Base::NextBelow(network.mRandom, 4000));
      }
    }
  }
}

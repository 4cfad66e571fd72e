#include "fixture.h"

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <map>

using std::chrono::milliseconds;
using Steering::PacketKind;

namespace {

struct FlowLoadFixture : SteeringFixture
{
  /// Opens flows and closes each after aDuration.
  void Serve(uint16_t aFirstPort, int aCount, milliseconds aDuration)
  {
    for (int i = 0; i < aCount; ++i) {
      const auto port = static_cast<uint16_t>(aFirstPort + i);
      const Directory::RouteTag tag = OpenFlow(port);
      mNow += aDuration;
      Send(port, PacketKind::Closing, tag);
    }
  }

  uint32_t OwnFlows(uint64_t aId) const
  {
    return Steering::LoadOf(mState.mLoads, Tag(aId)).mOwnFlows;
  }
};

} // namespace

TEST_GROUP(FlowLoad), FlowLoadFixture{};

// Guards against an overload of the upstreams that join late after a common restart: flows that an
// upstream reset, or whose callers gave up, made the others look busy for seconds.
TEST(FlowLoad, AbandonedFlowsDoNotDivertNewOnes)
{
  mSlots = 20;
  Declare(1);
  AddUpstream(1, "a");
  Serve(1, 50, milliseconds(40));
  for (uint16_t port = 100; port < 120; ++port) {
    OpenFlow(port);
  }
  LONGS_EQUAL(20, OwnFlows(1));
  mNow += milliseconds(500);
  Steering::Expire(mState, mNow);
  AddUpstream(2, "a");
  std::map<uint64_t, int> opened;
  for (uint16_t port = 200; port < 220; ++port) {
    ++opened[Send(port, PacketKind::Opening).mUpstream.mValue];
  }
  CHECK_TRUE(opened[1] >= 5);
}

// Guards against requests that are forgotten while they run, so that their upstream gets too many.
TEST(FlowLoad, SlowRequestsKeepCounting)
{
  Declare(1);
  AddUpstream(1, "a");
  Serve(1, 50, milliseconds(300));
  OpenFlow(100);
  // Three times the mean.
  mNow += milliseconds(900);
  Steering::Expire(mState, mNow);
  LONGS_EQUAL(1, OwnFlows(1));
}

// Guards against opening packets that count as load although the upstream did not accept them.
TEST(FlowLoad, UnansweredOpeningIsNotCounted)
{
  Declare(1);
  AddUpstream(1, "a");
  const Directory::RouteTag tag = Send(1, PacketKind::Opening).mTag;
  LONGS_EQUAL(1, OwnFlows(1));
  mNow += milliseconds(100);
  Steering::Expire(mState, mNow);
  LONGS_EQUAL(0, OwnFlows(1));
  Send(1, PacketKind::MidFlow, tag, true);
  LONGS_EQUAL(1, OwnFlows(1));
}

// Guards against callers that keep flows open for later requests and thereby make their upstreams
// look busy, so that new flows are held although slots are free.
TEST(FlowLoad, KeptFlowCountsOnlyDuringARequest)
{
  Declare(1);
  AddUpstream(1, "a");
  Serve(1, 50, milliseconds(40));
  const Directory::RouteTag tag = OpenFlow(100);
  mNow += milliseconds(40);
  Send(100, PacketKind::MidFlow, tag);
  LONGS_EQUAL(0, OwnFlows(1));
  Send(100, PacketKind::MidFlow, tag, true);
  LONGS_EQUAL(1, OwnFlows(1));
  // Callers do not acknowledge an answer of one packet.
  mNow += milliseconds(200);
  Send(101, PacketKind::Opening);
  LONGS_EQUAL(1, OwnFlows(1));
}

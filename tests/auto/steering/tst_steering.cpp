#include "fixture.h"

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <set>

using std::chrono::milliseconds;
using std::chrono::seconds;
using Steering::Action;
using Steering::PacketKind;
using Steering::Reason;

TEST_GROUP(Steering), SteeringFixture{};

// Guards against flows that move: an instance that never saw the flow must find its upstream too.
TEST(Steering, AnyInstanceForwardsByTag)
{
  AddUpstream(1, "a");
  AddUpstream(2, "a");
  const auto decision = Send(1000, PacketKind::MidFlow, Tag(2), true);
  CHECK_TRUE(decision.mAction == Action::Forward);
  LONGS_EQUAL(2, decision.mUpstream.mValue);
  AddUpstream(2, "a", lw::fleet::DRAINING);
  CHECK_TRUE(Send(1000, PacketKind::MidFlow, Tag(2)).mAction == Action::Forward);
}

// Guards against a reset of a flow whose upstream may live.
TEST(Steering, UnknownTagIsDropped)
{
  AddUpstream(1, "a");
  Declare(1);
  CHECK_TRUE(Send(1000, PacketKind::MidFlow, Tag(9)).mAction == Action::Drop);
  CHECK_TRUE(Send(1000, PacketKind::MidFlow).mAction == Action::Drop);
}

// Guards against callers that wait for an upstream that has certainly ended.
TEST(Steering, FlowOfAnEndedUpstreamIsReset)
{
  AddUpstream(1, "a");
  AddUpstream(1, "a", lw::fleet::GONE);
  CHECK_TRUE(Send(1000, PacketKind::MidFlow, Tag(1)).mAction == Action::Reset);
  CHECK_TRUE(Send(1000, PacketKind::Abort, Tag(1)).mAction == Action::Drop);
}

// Guards against a reset of a flow that opened at a new start of an upstream before its first
// announcement was known here, so that its packets carry the tag of the earlier start.
TEST(Steering, FlowOfARestartedUpstreamIsLeftToIt)
{
  AddUpstream(1, "a");
  AddUpstream(1, "a", lw::fleet::READY, kFirstStart + 1);
  const auto decision = Send(1000, PacketKind::MidFlow, Tag(1));
  CHECK_TRUE(decision.mAction == Action::Forward);
  CHECK_TRUE(decision.mReason == Reason::UpstreamRestarted);
  LONGS_EQUAL(1, decision.mUpstream.mValue);
  AddUpstream(1, "a", lw::fleet::GONE, kFirstStart + 1);
  CHECK_TRUE(Send(1000, PacketKind::MidFlow, Tag(1)).mAction == Action::Reset);
}

// Guards against new flows at an upstream that leaves.
TEST(Steering, DrainingUpstreamGetsNoNewFlow)
{
  Declare(1);
  AddUpstream(1, "a");
  AddUpstream(2, "a", lw::fleet::DRAINING);
  for (uint16_t port = 1; port <= 100; ++port) {
    LONGS_EQUAL(1, Send(port, PacketKind::Opening).mUpstream.mValue);
  }
}

// Guards against a refusal while the route may be one that has just been added, and against
// silence when it is known not to exist.
TEST(Steering, UnknownRouteIsResetOnlyWithFreshConfiguration)
{
  CHECK_TRUE(Send(1, PacketKind::Opening).mReason == Reason::NotStarted);
  Declare(1, false);
  CHECK_TRUE(Send(1, PacketKind::Opening).mAction == Action::Reset);
  mNow += seconds(2);
  const auto decision = Send(1, PacketKind::Opening);
  CHECK_TRUE(decision.mAction == Action::Drop);
  CHECK_TRUE(decision.mReason == Reason::NoRoute);
}

// Guards against a configuration that goes back.
TEST(Steering, OlderConfigurationIsIgnored)
{
  CHECK_TRUE(Declare(5));
  CHECK_FALSE(Declare(4, false));
  CHECK_FALSE(Declare(5, false));
  LONGS_EQUAL(1, mState.mRoutes.mRoutes.size());
}

// Guards against a difference that is applied to another version than it was made for.
TEST(Steering, DifferenceNeedsItsBaseVersion)
{
  Declare(5);
  lw::fleet::PollReply reply;
  lw::fleet::RouteUpdate* update = reply.mutable_routes();
  update->set_version(7);
  update->set_base_version(4);
  lw::fleet::RouteAddress* removed = update->add_removed();
  removed->set_address(0x0a000001);
  removed->set_port(80);
  CHECK_FALSE(Steering::ApplyPollReply(mState, Base::InstanceId(1), reply, mNow));
  LONGS_EQUAL(1, mState.mRoutes.mRoutes.size());
  update->set_base_version(5);
  CHECK_TRUE(Steering::ApplyPollReply(mState, Base::InstanceId(1), reply, mNow));
  LONGS_EQUAL(0, mState.mRoutes.mRoutes.size());
  LONGS_EQUAL(7, mState.mRoutes.mVersion);
}

// Guards against final refusals in the first moments of an instance, when upstreams are missing
// that have not yet announced themselves again.
TEST(Steering, MissingUpstreamsAreAwaitedAfterAStart)
{
  Declare(1);
  CHECK_TRUE(Send(1, PacketKind::Opening).mAction == Action::Drop);
  mNow += mSettings.mLease + seconds(1);
  CHECK_TRUE(Send(1, PacketKind::Opening).mAction == Action::Reset);
}

// Guards against repeated opening packets that go to the upstream that did not answer.
TEST(Steering, RepeatedOpeningGoesElsewhere)
{
  Declare(1);
  AddUpstream(1, "a");
  AddUpstream(2, "a");
  std::set<uint64_t> offered;
  offered.insert(Send(1, PacketKind::Opening).mUpstream.mValue);
  mNow += milliseconds(200);
  offered.insert(Send(1, PacketKind::Opening).mUpstream.mValue);
  LONGS_EQUAL(2, offered.size());
}

// Guards against two upstreams that answer one caller: the flow stays at the one whose handshake
// the caller confirmed first, although the caller names the other one afterwards.
TEST(Steering, LateSecondHandshakeDoesNotMoveTheFlow)
{
  Declare(1);
  AddUpstream(1, "a");
  AddUpstream(2, "a");
  const auto first = Send(1, PacketKind::Opening);
  mNow += milliseconds(200);
  const auto second = Send(1, PacketKind::Opening);
  CHECK_TRUE(Send(1, PacketKind::MidFlow, first.mTag, true).mTag == first.mTag);
  CHECK_TRUE(Send(1, PacketKind::MidFlow, second.mTag, true).mTag == first.mTag);
  CHECK_TRUE(Send(1, PacketKind::Closing, second.mTag).mTag == first.mTag);
}

// Guards against flows that wait 200 ms for each dead upstream at each instance.
TEST(Steering, SilentUpstreamIsAvoidedSoon)
{
  Declare(1);
  AddUpstream(1, "a");
  AddUpstream(2, "a");
  const auto offered = Send(1, PacketKind::Opening);
  mNow += milliseconds(100);
  Steering::Expire(mState, mNow);
  for (uint16_t port = 2; port <= 40; ++port) {
    CHECK_TRUE(Send(port, PacketKind::Opening).mTag != offered.mTag);
  }
}

// Guards against load figures that only grow.
TEST(Steering, ClosedFlowsAreNoLoad)
{
  Declare(1);
  AddUpstream(1, "a");
  const Directory::RouteTag tag = OpenFlow(1);
  LONGS_EQUAL(1, Steering::LoadOf(mState.mLoads, tag).mOwnFlows);
  Send(1, PacketKind::Closing, tag);
  LONGS_EQUAL(0, Steering::LoadOf(mState.mLoads, tag).mOwnFlows);
  OpenFlow(2);
  mNow += seconds(3);
  Steering::Expire(mState, mNow);
  LONGS_EQUAL(0, Steering::LoadOf(mState.mLoads, tag).mOwnFlows);
}

// Guards against an opening packet that is taken for a repeated one because the caller uses its
// port again.
TEST(Steering, OtherSequenceOpensAnotherFlow)
{
  Declare(1);
  AddUpstream(1, "a");
  OpenFlow(1);
  Steering::Packet packet;
  packet.mFlow = { { 0x64400001, 1 }, { 0x0a000001, 80 } };
  packet.mKind = PacketKind::Opening;
  packet.mSequence = 77;
  CHECK_TRUE(Steering::Steer(mState, mSettings, packet, mNow).mReason == Reason::NewFlow);
}

// Guards against packets that no caller sends.
TEST(Steering, ForeignPacketsAreDropped)
{
  CHECK_TRUE(Send(1, PacketKind::Invalid).mAction == Action::Drop);
}

// Guards against flow records that outlive their flows.
TEST(Steering, RecordsAreBounded)
{
  Declare(1);
  AddUpstream(1, "a");
  for (uint32_t port = 1; port < 2000; ++port) {
    const Directory::RouteTag tag = OpenFlow(static_cast<uint16_t>(port));
    Send(static_cast<uint16_t>(port), PacketKind::Closing, tag);
  }
  mNow += seconds(10);
  Steering::Expire(mState, mNow);
  LONGS_EQUAL(0, mState.mFlows.mFlows.size());
}

// Guards against a record that grows with each copy of an opening packet.
TEST(Steering, RepeatedOpeningsKeepABoundedRecord)
{
  AddUpstream(1, "a");
  AddUpstream(2, "a");
  Declare(1);
  for (int copy = 0; copy < 100; ++copy) {
    Send(1000, PacketKind::Opening);
  }
  LONGS_EQUAL(1, mState.mFlows.mFlows.size());
  LONGS_EQUAL(2, mState.mFlows.mFlows.begin()->second.mTriedUpstreams.size());
}

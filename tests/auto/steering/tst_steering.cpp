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

// Guards against flows that break when their packets arrive at another entry instance: the tag must
// be enough to find the upstream, also while it drains.
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

// Guards against a reset of a flow whose upstream may still be alive, and against invalid tags that
// cost memory when the directory is complete.
TEST(Steering, UnknownTagIsDropped)
{
  AddUpstream(1, "a");
  Declare(1);
  mNow += mSettings.mLease + milliseconds(1);
  Declare(2);
  CHECK_TRUE(Send(1000, PacketKind::MidFlow, Tag(9)).mAction == Action::Drop);
  CHECK_TRUE(Send(1000, PacketKind::MidFlow).mAction == Action::Drop);
}

// Guards against callers that wait for an upstream that is known to have ended, and against a reset
// in answer to an abort.
TEST(Steering, FlowOfAnEndedUpstreamIsReset)
{
  AddUpstream(1, "a");
  AddUpstream(1, "a", lw::fleet::GONE);
  CHECK_TRUE(Send(1000, PacketKind::MidFlow, Tag(1)).mAction == Action::Reset);
  CHECK_TRUE(Send(1000, PacketKind::Abort, Tag(1)).mAction == Action::Drop);
}

// Guards against a reset of a flow that was opened at a restarted upstream before the restart was
// known here, so that its packets carry the tag of the earlier start.
TEST(Steering, FlowOfARestartedUpstreamIsForwarded)
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

// Guards against new flows to a draining upstream.
TEST(Steering, DrainingUpstreamGetsNoNewFlow)
{
  mSlots = 100;
  Declare(1);
  AddUpstream(1, "a");
  AddUpstream(2, "a", lw::fleet::DRAINING);
  for (uint16_t port = 1; port <= 100; ++port) {
    LONGS_EQUAL(1, Send(port, PacketKind::Opening).mUpstream.mValue);
  }
}

// Guards against a reset while the route may just have been added, and against dropped packets when
// the route is known not to exist.
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

// Guards against a configuration that reverts to an older version.
TEST(Steering, OlderConfigurationIsIgnored)
{
  CHECK_TRUE(Declare(5));
  CHECK_FALSE(Declare(4, false));
  CHECK_FALSE(Declare(5, false));
  LONGS_EQUAL(2, mState.mRoutes.mRoutes.size());
}

// Guards against a delta that is applied to a version other than its base.
TEST(Steering, DifferenceNeedsItsBaseVersion)
{
  Declare(5);
  lw::fleet::PollReply reply;
  lw::fleet::RouteUpdate* update = reply.mutable_routes();
  update->set_version(7);
  update->set_base_version(4);
  for (const uint16_t port : { kServicePort, kUrgentPort }) {
    lw::fleet::RouteAddress* removed = update->add_removed();
    removed->set_address(kServiceAddress);
    removed->set_port(port);
  }
  CHECK_FALSE(Steering::ApplyPollReply(mState, Base::InstanceId(1), reply, mNow));
  LONGS_EQUAL(2, mState.mRoutes.mRoutes.size());
  update->set_base_version(5);
  CHECK_TRUE(Steering::ApplyPollReply(mState, Base::InstanceId(1), reply, mNow));
  LONGS_EQUAL(0, mState.mRoutes.mRoutes.size());
  LONGS_EQUAL(7, mState.mRoutes.mVersion);
}

// Guards against resets right after the start of an instance, while the directory is incomplete
// because some upstreams have not renewed their announcements yet.
TEST(Steering, OpeningsAreNotResetUntilTheDirectoryIsComplete)
{
  Declare(1);
  CHECK_TRUE(Send(1, PacketKind::Opening).mAction == Action::Hold);
  mNow += mSettings.mLease;
  CHECK_TRUE(Send(2, PacketKind::Opening).mAction == Action::Hold);
  mNow += milliseconds(1);
  CHECK_TRUE(Send(1, PacketKind::Opening).mAction == Action::Reset);
}

// Guards against retransmitted opening packets that go to the upstream that did not answer.
TEST(Steering, RepeatedOpeningGoesToAnotherUpstream)
{
  Declare(1);
  AddUpstream(1, "a");
  AddUpstream(2, "a");
  std::set<uint64_t> assigned;
  assigned.insert(Send(1, PacketKind::Opening).mUpstream.mValue);
  mNow += milliseconds(200);
  assigned.insert(Send(1, PacketKind::Opening).mUpstream.mValue);
  LONGS_EQUAL(2, assigned.size());
}

// Guards against a flow that moves when two upstreams answer its opening packets: it stays at the
// one whose handshake the caller completed first, although later packets carry the other tag.
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

// Guards against new flows that are delayed by 200 ms each because they are assigned to an upstream
// that did not answer before.
TEST(Steering, UnresponsiveUpstreamIsAvoided)
{
  mSlots = 100;
  Declare(1);
  AddUpstream(1, "a");
  AddUpstream(2, "a");
  const auto assigned = Send(1, PacketKind::Opening);
  mNow += milliseconds(100);
  Steering::Expire(mState, mNow);
  for (uint16_t port = 2; port <= 40; ++port) {
    CHECK_TRUE(Send(port, PacketKind::Opening).mTag != assigned.mTag);
  }
}

// Guards against flows that are counted as load after they are closed or idle.
TEST(Steering, ClosedAndIdleFlowsAreNotCounted)
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

// Guards against an opening packet that is treated as a retransmission because the caller reuses
// its port.
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

// Guards against invalid packets that are forwarded to an upstream.
TEST(Steering, InvalidPacketsAreDropped)
{
  CHECK_TRUE(Send(1, PacketKind::Invalid).mAction == Action::Drop);
}

// Guards against records of closed flows that are never removed.
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

// Guards against a flow record that grows with each retransmission of the opening packet.
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

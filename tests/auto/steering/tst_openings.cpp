#include "fixture.h"

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <vector>

using std::chrono::milliseconds;
using Steering::Action;
using Steering::PacketKind;
using Steering::Reason;

namespace {

struct OpeningsFixture : SteeringFixture
{
  /// Opens flows until one is held.
  /// \return the number of flows that were forwarded.
  int Saturate()
  {
    int forwarded = 0;
    while (OpenNext() == Action::Forward) {
      ++forwarded;
    }
    return forwarded;
  }

  Action OpenNext()
  {
    const Steering::Decision decision = Send(mNextPort, PacketKind::Opening);
    if (decision.mAction == Action::Forward) {
      Send(mNextPort, PacketKind::MidFlow, decision.mTag, true);
      mOpen.push_back(mNextPort);
    }
    ++mNextPort;
    return decision.mAction;
  }

  /// Closes the flow that was opened first.
  void CloseOne()
  {
    Send(mOpen.front(), PacketKind::Closing, Tag(1));
    mOpen.erase(mOpen.begin());
  }

  std::vector<Steering::ReleasedPacket> Release()
  {
    return Steering::ReleaseOpenings(mState, mSettings, mNow);
  }

  uint16_t mNextPort = 1;
  std::vector<uint16_t> mOpen;
};

} // namespace

TEST_GROUP(Openings), OpeningsFixture{};

// Guards against a herd of callers that fills the queues of the upstreams, so that every request
// waits longer than its objective.
TEST(Openings, FlowsAreHeldWhileUpstreamsHaveNoRoom)
{
  Declare(1);
  AddUpstream(1, "a");
  const int forwarded = Saturate();
  CHECK_TRUE(forwarded >= 2 && forwarded <= 6);
  CHECK_TRUE(Release().empty());
  CHECK_TRUE(Steering::HasHeldOpenings(mState));
  CloseOne();
  const auto released = Release();
  LONGS_EQUAL(1, released.size());
  CHECK_TRUE(released[0].mDecision.mReason == Reason::Released);
  LONGS_EQUAL(1, released[0].mDecision.mUpstream.mValue);
  CHECK_FALSE(Steering::HasHeldOpenings(mState));
}

// Guards against a limit that each instance of a zone applies as if it were alone.
TEST(Openings, LimitIsSharedAmongTheInstances)
{
  Declare(1);
  mSlots = 30;
  AddUpstream(1, "a");
  mState.mInstances = 3;
  lw::fleet::LoadReport report;
  report.set_instance(2);
  report.set_sequence(1);
  lw::fleet::UpstreamLoad* load = report.add_loads();
  load->set_tag(Tag(1).mValue);
  load->set_outstanding(mSlots);
  Steering::ApplyLoadReport(mState.mReports, mState.mLoads, report, mNow);
  LONGS_EQUAL(mSlots, Saturate());
}

// Guards against slots that idle although other instances of the zone do not use their share.
TEST(Openings, UnusedSlotsOfPeersAreLent)
{
  Declare(1);
  mSlots = 30;
  AddUpstream(1, "a");
  mState.mInstances = 30;
  CHECK_TRUE(Saturate() >= 30);
}

// Guards against a backlog after a common restart that makes all later requests late as well: those
// that can still meet their objective go first, and urgent ones before the others.
TEST(Openings, RequestsInTimeAndUrgentOnesGoFirst)
{
  Declare(1);
  AddUpstream(1, "a");
  Saturate();
  CHECK_TRUE(SendOpening(1001, milliseconds(600)).mAction == Action::Hold);
  CHECK_TRUE(SendOpening(1002, milliseconds(0)).mAction == Action::Hold);
  CHECK_TRUE(SendOpening(1003, milliseconds(0), kUrgentPort).mAction == Action::Hold);
  mNow += milliseconds(1);
  std::vector<uint16_t> order;
  while (order.size() < 4 && !mOpen.empty()) {
    CloseOne();
    for (const Steering::ReleasedPacket& released : Release()) {
      order.push_back(released.mFlow.mCaller.mPort);
    }
  }
  LONGS_EQUAL(4, order.size());
  LONGS_EQUAL(1003, order[0]);
  LONGS_EQUAL(1001, order[3]);
}

// Guards against a packet that is forwarded twice, once when it is released and once as the
// caller's next copy.
TEST(Openings, CopyOfAHeldPacketIsNotHeldTwice)
{
  Declare(1);
  AddUpstream(1, "a");
  Saturate();
  SendOpening(1001, milliseconds(0));
  mNow += milliseconds(200);
  CHECK_TRUE(SendOpening(1001, milliseconds(200)).mAction == Action::Hold);
  for (int i = 0; i < 4; ++i) {
    CloseOne();
  }
  LONGS_EQUAL(2, Release().size());
}

// Guards against packets that are forwarded after their callers have ended the attempt, and against
// a queue that keeps them.
TEST(Openings, PacketsOfEndedAttemptsAreRemoved)
{
  Declare(1);
  AddUpstream(1, "a");
  Saturate();
  SendOpening(1001, milliseconds(600));
  mNow += milliseconds(900);
  CloseOne();
  for (const Steering::ReleasedPacket& released : Release()) {
    CHECK_TRUE(released.mFlow.mCaller.mPort != 1001);
  }
  mNow += milliseconds(600);
  Release();
  CHECK_FALSE(Steering::HasHeldOpenings(mState));
}

// Guards against callers that wait for an answer although their turn would come too late.
TEST(Openings, FlowsThatCannotBeServedAreResetAtOnce)
{
  Declare(1);
  AddUpstream(1, "a");
  for (int i = 0; i < 20; ++i) {
    OpenNext();
    mNow += milliseconds(100);
    CloseOne();
  }
  Saturate();
  Steering::Decision decision;
  for (uint16_t port = 1000; port < 2000 && decision.mAction != Action::Reset; ++port) {
    decision = SendOpening(port, milliseconds(600));
  }
  CHECK_TRUE(decision.mAction == Action::Reset);
  CHECK_TRUE(decision.mReason == Reason::Overloaded);
}

// Guards against flows that wait for a limit although their service has no responsive upstream left
// and the others are the only chance.
TEST(Openings, NothingIsHeldForUnresponsiveUpstreams)
{
  Declare(1);
  AddUpstream(1, "a");
  mNow += mSettings.mLease + milliseconds(1);
  for (int i = 0; i < 20; ++i) {
    CHECK_TRUE(OpenNext() == Action::Forward);
  }
}

// Guards against a reset of a flow that its upstream is just opening: the caller may have sent the
// second copy of the opening packet before the answer to the first one arrived.
TEST(Openings, FlowThatWasForwardedIsNotReset)
{
  Declare(1);
  AddUpstream(1, "a");
  mNow += mSettings.mLease + milliseconds(1);
  AddUpstream(1, "a");
  SendOpening(1001, milliseconds(0));
  mNow += milliseconds(200);
  AddUpstream(1, "a", lw::fleet::DRAINING);
  const Steering::Decision decision = SendOpening(1001, milliseconds(200));
  CHECK_TRUE(decision.mReason == Reason::NoUpstream);
  CHECK_TRUE(decision.mAction == Action::Drop);
  CHECK_TRUE(SendOpening(1002, milliseconds(0)).mAction == Action::Reset);
}

#include "fixture.h"

#include <CppUTest/TestHarness.h>

#include <chrono>

using std::chrono::milliseconds;
using std::chrono::seconds;
using Steering::PacketKind;
using Steering::Reason;

namespace {

constexpr uint32_t kInstance = 1;
constexpr uint32_t kPeer = 2;
constexpr uint32_t kAdded = 3;
constexpr uint16_t kCallerPort = 1;
constexpr milliseconds kCopyInterval{ 200 };
/// Time after which a flow that is still open is reported.
constexpr milliseconds kReportDelay{ 3100 };
constexpr milliseconds kReportInterval{ 100 };
/// Longer than the record of an idle flow is kept, shorter than the idle timeout of flows.
constexpr seconds kPause{ 4 };
constexpr seconds kMaxFlowAge{ 60 };

/// Two entry instances that know the same upstreams, and a flow whose opening packet was sent
/// twice, so that two upstreams answer it.
struct FlowPinsFixture
{
  FlowPinsFixture()
  {
    Prepare(mEntry, kInstance);
    Prepare(mPeer, kPeer);
  }

  static void Prepare(SteeringFixture& aEntry, uint32_t aInstance)
  {
    aEntry.mState.mPins.mSelf = aInstance;
    aEntry.mSlots = 100;
    aEntry.Declare(1);
    aEntry.AddUpstream(1, "a");
    aEntry.AddUpstream(2, "a");
  }

  /// Prepares the state of an instance that has just started.
  void Restart(SteeringFixture& aEntry, uint32_t aInstance)
  {
    aEntry.mNow = mEntry.mNow;
    Prepare(aEntry, aInstance);
    ++mIncarnation;
  }

  void Advance(Base::Duration aTime)
  {
    const Base::TimePoint end = mEntry.mNow + aTime;
    while (mEntry.mNow < end) {
      mEntry.mNow += milliseconds(100);
      mPeer.mNow = mEntry.mNow;
      Steering::Expire(mEntry.mState, mEntry.mNow);
      Steering::Expire(mPeer.mState, mPeer.mNow);
    }
  }

  /// Opens a flow at the first of the upstreams that got its opening packet.
  void OpenAtHolder()
  {
    mHolder = mEntry.Send(kCallerPort, PacketKind::Opening).mTag;
    Advance(kCopyInterval);
    mOther = mEntry.Send(kCallerPort, PacketKind::Opening).mTag;
    mEntry.Send(kCallerPort, PacketKind::MidFlow, mHolder, true);
  }

  void OpenTwice()
  {
    OpenAtHolder();
    Advance(kReportDelay);
  }

  /// \return the tag of the upstream that gets a packet after the other upstream's late answer.
  Directory::RouteTag SendAfterLateAnswer(SteeringFixture& aEntry) const
  {
    return aEntry.Send(kCallerPort, PacketKind::MidFlow, mOther, true).mTag;
  }

  /// \return the size of the report in bytes.
  size_t Report(SteeringFixture& aFrom, SteeringFixture& aTo)
  {
    lw::fleet::LoadReport report = Steering::MakePeerReport(aFrom.mState, aFrom.mNow);
    report.set_instance(aFrom.mState.mPins.mSelf);
    report.set_incarnation(mIncarnation);
    report.set_sequence(++mSequence);
    Steering::ApplyPeerReport(aTo.mState, report, aTo.mNow);
    return report.ByteSizeLong();
  }

  SteeringFixture mEntry;
  SteeringFixture mPeer;
  Directory::RouteTag mHolder;
  Directory::RouteTag mOther;
  uint64_t mIncarnation = 1;
  uint64_t mSequence = 0;
};

} // namespace

TEST_GROUP(FlowPins), FlowPinsFixture{};

// Guards against a request after a pause that goes to the upstream that answered a copy of the
// opening packet late. That upstream resets the flow.
TEST(FlowPins, PausedFlowStaysAtItsUpstream)
{
  OpenTwice();
  CHECK_TRUE(mHolder != mOther);
  for (int request = 0; request < 3; ++request) {
    Advance(kPause);
    const auto decision = mEntry.Send(kCallerPort, PacketKind::MidFlow, mOther, true);
    CHECK_TRUE(decision.mTag == mHolder);
    CHECK_TRUE(decision.mReason == Reason::Retagged);
  }
  CHECK_TRUE(mEntry.Send(kCallerPort, PacketKind::Closing, mOther).mTag == mHolder);
}

// Guards against a flow that the other upstream accepted and that is forced to the first one.
TEST(FlowPins, FlowStaysAtTheUpstreamThatTheCallerChose)
{
  mHolder = mEntry.Send(kCallerPort, PacketKind::Opening).mTag;
  Advance(kCopyInterval);
  const auto second = mEntry.Send(kCallerPort, PacketKind::Opening).mTag;
  mEntry.Send(kCallerPort, PacketKind::MidFlow, second, true);
  Advance(kPause);
  CHECK_TRUE(mEntry.Send(kCallerPort, PacketKind::MidFlow, mHolder, true).mTag == second);
}

// Guards against a flow that is reset when the fabric moves it to an instance that did not see its
// handshake.
TEST(FlowPins, PeerForwardsAMovedFlowToItsUpstream)
{
  OpenTwice();
  Report(mEntry, mPeer);
  CHECK_TRUE(SendAfterLateAnswer(mPeer) == mHolder);
  Advance(kPause);
  CHECK_TRUE(SendAfterLateAnswer(mPeer) == mHolder);
}

// Guards against a pin that is lost with one datagram.
TEST(FlowPins, PinIsReportedSeveralTimes)
{
  OpenTwice();
  const auto lost = Steering::MakePeerReport(mEntry.mState, mEntry.mNow);
  LONGS_EQUAL(1, lost.pins_size());
  Report(mEntry, mPeer);
  CHECK_TRUE(SendAfterLateAnswer(mPeer) == mHolder);
  for (int i = 0; i < 10; ++i) {
    Report(mEntry, mPeer);
  }
  LONGS_EQUAL(0, Steering::MakePeerReport(mEntry.mState, mEntry.mNow).pins_size());
}

// Guards against an instance that forgets the pins with a restart, its own ones included, and
// resets the flows that the fabric hands back to it.
TEST(FlowPins, RestartedInstanceGetsThePinsAgain)
{
  OpenTwice();
  Report(mPeer, mEntry);
  for (int i = 0; i < 10; ++i) {
    Report(mEntry, mPeer);
  }
  SteeringFixture restarted;
  Restart(restarted, kInstance);
  Report(restarted, mPeer);
  Report(mPeer, restarted);
  CHECK_TRUE(SendAfterLateAnswer(restarted) == mHolder);
}

// Guards against pins that only a restarted instance could send, because it had made them, and that
// it does not send because it got them from its peers.
TEST(FlowPins, PinsSurviveRestartsOneAfterTheOther)
{
  OpenTwice();
  Report(mEntry, mPeer);
  SteeringFixture first;
  Restart(first, kInstance);
  Report(first, mPeer);
  Report(mPeer, first);
  SteeringFixture second;
  Restart(second, kPeer);
  Report(second, first);
  Report(first, second);
  CHECK_TRUE(SendAfterLateAnswer(second) == mHolder);
}

// Guards against pins that a peer misses in a short loss of contact, and reports in which they are
// repeated although nothing was missed.
TEST(FlowPins, PinsAreRepeatedAfterALossOfContact)
{
  Report(mPeer, mEntry);
  OpenTwice();
  for (int i = 0; i < 10; ++i) {
    Report(mPeer, mEntry);
    Steering::MakePeerReport(mEntry.mState, mEntry.mNow);
  }
  LONGS_EQUAL(0, Steering::MakePeerReport(mEntry.mState, mEntry.mNow).pins_size());
  mSequence += Steering::kReportsPerPin;
  Report(mPeer, mEntry);
  Report(mEntry, mPeer);
  CHECK_TRUE(SendAfterLateAnswer(mPeer) == mHolder);
}

// Guards against pins that a peer misses because reports are lost in one direction only. The
// instance that sent them gets all reports of the peer and can't notice.
TEST(FlowPins, PinsAreRepeatedAfterALossInOneDirection)
{
  Report(mPeer, mEntry);
  Report(mEntry, mPeer);
  OpenAtHolder();
  for (Base::Duration lost{ 0 }; lost < kReportDelay + kPause; lost += kReportInterval) {
    Advance(kReportInterval);
    Report(mPeer, mEntry);
    Steering::MakePeerReport(mEntry.mState, mEntry.mNow);
  }
  Report(mEntry, mPeer);
  CHECK_TRUE(SendAfterLateAnswer(mPeer) == mOther);
  Report(mPeer, mEntry);
  Report(mEntry, mPeer);
  CHECK_TRUE(SendAfterLateAnswer(mPeer) == mHolder);
}

// Guards against a flow whose pin is lost with the instance, because the instance is lost within
// seconds of the handshake.
TEST(FlowPins, PinIsReportedSoonWhileFewArePending)
{
  OpenAtHolder();
  Advance(milliseconds(300));
  Report(mEntry, mPeer);
  CHECK_TRUE(SendAfterLateAnswer(mPeer) == mHolder);
}

// Guards against pins that an instance which has just been lost should have sent to a started one.
TEST(FlowPins, PinsOfALostInstanceAreSentOnceItsReportsExpire)
{
  OpenTwice();
  Report(mEntry, mPeer);
  for (int i = 0; i < Steering::kReportsPerPin; ++i) {
    Report(mPeer, mEntry);
  }
  SteeringFixture added;
  Restart(added, kAdded);
  Report(added, mPeer);
  Report(mPeer, added);
  CHECK_TRUE(SendAfterLateAnswer(added) == mOther);
  Advance(seconds(2));
  added.mNow = mPeer.mNow;
  Report(mPeer, added);
  CHECK_TRUE(SendAfterLateAnswer(added) == mHolder);
}

// Guards against pins of an instance that was removed, which nobody sends to a restarted one.
TEST(FlowPins, PinsOfARemovedInstanceAreSentByTheOthers)
{
  OpenTwice();
  Report(mEntry, mPeer);
  Advance(seconds(10));
  SteeringFixture added;
  Restart(added, kAdded);
  Report(added, mPeer);
  Report(mPeer, added);
  CHECK_TRUE(SendAfterLateAnswer(added) == mHolder);
}

// Guards against a flow whose first packet at this instance carries the wrong tag, because the
// handshake was completed through another instance.
TEST(FlowPins, PinGoesBeforeAnUnconfirmedRecord)
{
  mPeer.Send(kCallerPort, PacketKind::Opening);
  OpenTwice();
  Report(mEntry, mPeer);
  CHECK_TRUE(SendAfterLateAnswer(mPeer) == mHolder);
}

// Guards against a flow that is not pinned because an earlier copy of its opening packet went
// through another instance.
TEST(FlowPins, FlowOpenedByACopyIsPinned)
{
  const Directory::RouteTag tag = mEntry.SendOpening(kCallerPort, kCopyInterval).mTag;
  const Directory::RouteTag other = tag == mEntry.Tag(1) ? mEntry.Tag(2) : mEntry.Tag(1);
  mEntry.Send(kCallerPort, PacketKind::MidFlow, other, true);
  Advance(kPause);
  CHECK_TRUE(mEntry.Send(kCallerPort, PacketKind::MidFlow, tag, true).mTag == other);
}

// Guards against a later flow with the same addresses that is forwarded like the earlier one.
TEST(FlowPins, LaterFlowWithTheSameAddressesIsNotPinned)
{
  OpenTwice();
  Report(mEntry, mPeer);
  Steering::Packet packet;
  packet.mFlow = { { 0x64400001, kCallerPort },
                   { SteeringFixture::kServiceAddress, SteeringFixture::kServicePort } };
  packet.mKind = PacketKind::MidFlow;
  packet.mSequence = 0x80000000;
  packet.mTag = mOther;
  CHECK_TRUE(Steering::Steer(mPeer.mState, mPeer.mSettings, packet, mPeer.mNow).mTag == mOther);
}

// Guards against reports to all peers about flows that need no pin.
TEST(FlowPins, FlowOfOneUpstreamIsNotPinned)
{
  mEntry.OpenFlow(kCallerPort);
  LONGS_EQUAL(0, Steering::MakePeerReport(mEntry.mState, mEntry.mNow).pins_size());
}

// Guards against reports about flows of one request, which are closed at once. Under load, many of
// them are opened by a copy.
TEST(FlowPins, ClosedFlowIsNotReported)
{
  OpenTwice();
  mEntry.Send(kCallerPort, PacketKind::Closing, mHolder);
  LONGS_EQUAL(0, Steering::MakePeerReport(mEntry.mState, mEntry.mNow).pins_size());
  CHECK_TRUE(mEntry.Send(kCallerPort, PacketKind::Closing, mOther).mTag == mHolder);
}

// Guards against pins that use more and more memory.
TEST(FlowPins, PinsAreBoundedAndExpire)
{
  for (uint32_t number = 0; number < Steering::kMaxPins + 10; ++number) {
    const Steering::FlowKey flow = { { number, 1 }, { 1, 1 } };
    Steering::PinFlow(mEntry.mState.mPins, flow, 0, mEntry.Tag(1), mEntry.mNow);
  }
  LONGS_EQUAL(Steering::kMaxPins, mEntry.mState.mPins.mByFlow.size());
  LONGS_EQUAL(Steering::kMaxPins, mEntry.mState.mPins.mPending.size());
  Advance(kMaxFlowAge + seconds(1));
  LONGS_EQUAL(0, mEntry.mState.mPins.mByFlow.size());
  LONGS_EQUAL(0, mEntry.mState.mPins.mExpiries.size());
}

// Guards against pins that take the link and the processor of small instances, and pins that are
// skipped by a full report. In a zone of 59 instances with links of 2 Mbit/s, pins once took the
// whole link.
TEST(FlowPins, PinsAreSentWithinTheirBandwidth)
{
  constexpr uint32_t kFlows = 200;
  constexpr size_t kMaxBytesPerSecond = size_t{ 8 } * 1024;
  for (const size_t instances : { size_t{ 2 }, size_t{ 7 }, size_t{ 59 } }) {
    mEntry.mState.mPins = {};
    mPeer.mState.mPins = {};
    mEntry.mState.mInstances = instances;
    for (uint32_t number = 0; number < kFlows; ++number) {
      const Steering::FlowKey flow = { { number, 1 }, { 1, 1 } };
      Steering::PinFlow(mEntry.mState.mPins, flow, 0, mEntry.Tag(1), mEntry.mNow);
    }
    Advance(kReportDelay);
    const auto reports = static_cast<size_t>(seconds(1) / Steering::ReportInterval(instances));
    size_t bytes = 0;
    for (size_t i = 0; i < reports; ++i) {
      bytes += Report(mEntry, mPeer) * (instances - 1);
    }
    CHECK_TRUE(bytes <= kMaxBytesPerSecond);
    for (uint32_t i = 0; i < kFlows; ++i) {
      Report(mEntry, mPeer);
    }
    LONGS_EQUAL(kFlows, mPeer.mState.mPins.mByFlow.size());
  }
}

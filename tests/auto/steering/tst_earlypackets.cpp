#include "fixture.h"

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <string>
#include <vector>

using std::chrono::milliseconds;
using std::chrono::seconds;
using Steering::Action;
using Steering::PacketKind;
using Steering::Reason;

namespace {

struct EarlyPacketsFixture : SteeringFixture
{
  static Steering::Packet MakePacket(uint16_t aCallerPort, PacketKind aKind, uint32_t aSequence)
  {
    Steering::Packet packet;
    packet.mFlow = { { 0x64400001, aCallerPort }, { kServiceAddress, kServicePort } };
    packet.mKind = aKind;
    packet.mSequence = aSequence;
    packet.mDatagram = "packet";
    return packet;
  }

  Steering::Decision SendTagged(uint16_t aCallerPort,
                                uint32_t aSequence = 1,
                                std::string_view aDatagram = "data",
                                PacketKind aKind = PacketKind::MidFlow)
  {
    Steering::Packet packet = MakePacket(aCallerPort, aKind, aSequence);
    packet.mTag = Tag(1);
    packet.mCarriesData = aKind == PacketKind::MidFlow;
    packet.mDatagram = aDatagram;
    return Steering::Steer(mState, mSettings, packet, mNow);
  }

  std::vector<Steering::ReleasedPacket> Release()
  {
    return Steering::ReleaseEarlyPackets(mState, mSettings, mNow);
  }

  /// Lets the lease pass after the first reply, and applies a reply of each control instance.
  void CompleteDirectory()
  {
    AddUpstream(2, "a");
    Declare(1);
    mNow += mSettings.mLease + milliseconds(1);
    Reply(1, false);
  }

  void Reply(uint32_t aControl, bool aMore)
  {
    lw::fleet::PollReply reply;
    reply.set_connected(true);
    reply.set_more(aMore);
    Steering::ApplyPollReply(mState, Base::InstanceId(aControl), reply, mNow);
  }

  size_t Held() const { return mState.mEarlyPackets.mPackets.size(); }
};

} // namespace

TEST_GROUP(EarlyPackets), EarlyPacketsFixture{};

// Guards against flows that fail because the instance has no configuration yet: an opening packet
// that is dropped at the start is sent again only after 200 or 400 ms, or not at all.
TEST(EarlyPackets, OpeningIsForwardedOnceRoutesAndUpstreamsAreKnown)
{
  const Steering::Decision decision = SendOpening(1, milliseconds(0));
  CHECK_TRUE(decision.mAction == Action::Hold);
  CHECK_TRUE(decision.mReason == Reason::NotStarted);
  CHECK_TRUE(Steering::IsHeldEarly(decision));
  Declare(1);
  CHECK_TRUE(Release().empty());
  AddUpstream(1, "a");
  const auto released = Release();
  LONGS_EQUAL(1, released.size());
  CHECK_TRUE(released[0].mDecision.mAction == Action::Forward);
  CHECK_TRUE(released[0].mDecision.mUpstream == Directory::UpstreamId(1));
  STRCMP_EQUAL("opening", released[0].mDatagram.c_str());
  LONGS_EQUAL(0, Held());
  LONGS_EQUAL(0, mState.mEarlyPackets.mBytes);
}

// Guards against requests on open flows that miss their deadline because the data was dropped by an
// instance that has just started.
TEST(EarlyPackets, TaggedPacketIsForwardedOnceItsUpstreamIsKnown)
{
  CHECK_TRUE(SendTagged(1).mAction == Action::Hold);
  AddUpstream(2, "a");
  CHECK_TRUE(Release().empty());
  AddUpstream(1, "a");
  const auto released = Release();
  LONGS_EQUAL(1, released.size());
  CHECK_TRUE(released[0].mDecision.mAction == Action::Forward);
  CHECK_TRUE(released[0].mDecision.mReason == Reason::Tagged);
}

// Guards against an order in which new flows take the time of open ones, whose callers wait for
// longer, and against young openings that overtake old ones.
TEST(EarlyPackets, OpenFlowsAreReleasedFirstThenTheOldestOpenings)
{
  mSlots = 100;
  SendOpening(1, milliseconds(0));
  SendOpening(2, milliseconds(600));
  SendTagged(3);
  SendOpening(4, milliseconds(200));
  SendTagged(5);
  AddUpstream(1, "a");
  Declare(1);
  std::string order;
  for (const Steering::ReleasedPacket& released : Release()) {
    order += std::to_string(released.mFlow.mCaller.mPort);
  }
  STRCMP_EQUAL("35241", order.c_str());
}

// Guards against a packet that is forwarded once for each copy that was held, and against an older
// copy that is forwarded instead of the latest one.
TEST(EarlyPackets, RetransmissionReplacesTheHeldCopy)
{
  SendTagged(1, 1, "first");
  SendTagged(1, 2, "next");
  mNow += milliseconds(200);
  SendTagged(1, 1, "again");
  SendOpening(2, milliseconds(0));
  mNow += milliseconds(200);
  SendOpening(2, milliseconds(200));
  LONGS_EQUAL(3, Held());
  AddUpstream(1, "a");
  Declare(1);
  const auto released = Release();
  LONGS_EQUAL(3, released.size());
  STRCMP_EQUAL("again", released[0].mDatagram.c_str());
  STRCMP_EQUAL("next", released[1].mDatagram.c_str());
}

// Guards against data that is replaced by an acknowledgment with the same sequence number.
TEST(EarlyPackets, AcknowledgmentDoesNotReplaceData)
{
  SendTagged(1, 1, "data");
  Steering::Packet packet = MakePacket(1, PacketKind::MidFlow, 1);
  packet.mTag = Tag(1);
  Steering::Steer(mState, mSettings, packet, mNow);
  LONGS_EQUAL(2, Held());
}

// Guards against a copy that is forwarded although the same packet is still held and is forwarded
// again when it is released.
TEST(EarlyPackets, DecidedCopyRemovesTheHeldOne)
{
  SendTagged(1);
  AddUpstream(1, "a");
  CHECK_TRUE(SendTagged(1).mAction == Action::Forward);
  CHECK_TRUE(Release().empty());
}

// Guards against a flow whose time in the store is not counted, so that it is held for an upstream
// after its caller has ended the attempt, and against one that counts as tried at another instance
// because it was held: each such flow would be reported to all peers.
TEST(EarlyPackets, ReleasedOpeningKeepsTheTimeOfItsFirstCopy)
{
  SendOpening(1, milliseconds(0));
  SendOpening(2, milliseconds(200));
  mNow += milliseconds(200);
  SendOpening(1, milliseconds(200));
  mNow += milliseconds(100);
  AddUpstream(1, "a");
  Declare(1);
  LONGS_EQUAL(2, Release().size());
  for (const auto& [key, flow] : mState.mFlows.mFlows) {
    const bool first = key.mCaller.mPort == 1;
    CHECK_TRUE(flow.mOpenedAt == mNow - milliseconds(first ? 300 : 500));
    CHECK_EQUAL(!first, flow.mTriedElsewhere);
  }
}

// Guards against packets that are forwarded when they are of no use any more, and against a store
// that keeps them.
TEST(EarlyPackets, PacketsExpire)
{
  SendOpening(1, milliseconds(600));
  SendTagged(2);
  mNow += milliseconds(799);
  CHECK_TRUE(Steering::ExpireEarlyPackets(mState, mNow).empty());
  mNow += milliseconds(1);
  const auto opening = Steering::ExpireEarlyPackets(mState, mNow);
  LONGS_EQUAL(1, opening.size());
  CHECK_TRUE(opening[0].mDecision.mAction == Action::Drop);
  CHECK_TRUE(opening[0].mDecision.mReason == Reason::NotStarted);
  mNow += milliseconds(200);
  AddUpstream(1, "a");
  CHECK_TRUE(Release().empty());
  const auto tagged = Steering::ExpireEarlyPackets(mState, mNow);
  LONGS_EQUAL(1, tagged.size());
  CHECK_TRUE(tagged[0].mDecision.mReason == Reason::UnknownTag);
  LONGS_EQUAL(0, Held());
}

// Guards against an opening packet whose copies extend the time for which it is held.
TEST(EarlyPackets, CopyDoesNotExtendTheAttempt)
{
  SendOpening(1, milliseconds(0));
  mNow += milliseconds(600);
  SendOpening(1, milliseconds(600));
  mNow += milliseconds(800);
  LONGS_EQUAL(1, Steering::ExpireEarlyPackets(mState, mNow).size());
}

// Guards against a flood during the start that takes the memory of the instance.
TEST(EarlyPackets, NumberAndBytesAreBounded)
{
  for (uint32_t sequence = 1; sequence <= Steering::kMaxEarlyPackets; ++sequence) {
    CHECK_TRUE(SendTagged(1, sequence).mAction == Action::Hold);
  }
  CHECK_TRUE(SendTagged(1, 0).mAction == Action::Drop);
  CHECK_TRUE(SendTagged(1, 1).mAction == Action::Hold);
  LONGS_EQUAL(Steering::kMaxEarlyPackets, Held());
  mNow += seconds(1);
  Steering::ExpireEarlyPackets(mState, mNow);
  LONGS_EQUAL(0, mState.mEarlyPackets.mBytes);
  const std::string large(2000, 'x');
  uint32_t sequence = 0;
  while (SendTagged(1, sequence, large).mAction == Action::Hold) {
    ++sequence;
  }
  LONGS_EQUAL(Steering::kMaxEarlyBytes / large.size(), sequence);
  // A larger retransmission does not fit, and the copy that is held stays.
  CHECK_TRUE(SendTagged(1, 0, std::string(2100, 'x')).mAction == Action::Hold);
  LONGS_EQUAL(sequence, Held());
}

// Guards against invalid tags that cost memory and copies in normal operation.
TEST(EarlyPackets, UnknownTagIsDroppedWithACompleteDirectory)
{
  CompleteDirectory();
  for (uint16_t port = 1; port <= 100; ++port) {
    const Steering::Decision decision = SendTagged(port);
    CHECK_TRUE(decision.mAction == Action::Drop);
    CHECK_TRUE(decision.mReason == Reason::UnknownTag);
  }
  LONGS_EQUAL(0, Held());
}

// Guards against packets that are dropped while a connected control instance has sent only a part
// of its directory.
TEST(EarlyPackets, DirectoryIsIncompleteWhileAControlInstanceSendsMore)
{
  CompleteDirectory();
  Reply(2, true);
  CHECK_TRUE(SendTagged(1).mAction == Action::Hold);
  Reply(2, false);
  CHECK_TRUE(SendTagged(2).mAction == Action::Drop);
}

// Guards against packets to a new upstream that are dropped by an instance that was frozen or does
// not hear one of the control instances, and against a lost control instance because of which
// invalid tags are held for ever.
TEST(EarlyPackets, UnknownTagIsHeldWhileAControlInstanceIsOverdue)
{
  CompleteDirectory();
  Reply(2, false);
  mNow += mSettings.mMaxConfigAge + milliseconds(1);
  CHECK_TRUE(SendTagged(1).mAction == Action::Hold);
  Reply(1, false);
  CHECK_TRUE(SendTagged(2).mAction == Action::Hold);
  mNow += mSettings.mLease;
  Reply(1, false);
  CHECK_TRUE(SendTagged(3).mAction == Action::Drop);
}

// Guards against resets of flows whose upstream may be alive, whatever kind of packet arrives
// before the directory is complete.
TEST(EarlyPackets, NothingIsResetBeforeTheDirectoryIsComplete)
{
  uint16_t port = 0;
  for (const PacketKind kind : { PacketKind::MidFlow, PacketKind::Closing, PacketKind::Abort }) {
    CHECK_TRUE(SendTagged(++port, 1, "packet", kind).mAction == Action::Hold);
  }
  SendOpening(++port, milliseconds(0));
  AddUpstream(2, "a", lw::fleet::DRAINING);
  Declare(1);
  CHECK_TRUE(Release().empty());
  CHECK_TRUE(SendOpening(++port, milliseconds(0)).mAction == Action::Hold);
  AddUpstream(1, "a");
  const auto released = Release();
  LONGS_EQUAL(5, released.size());
  for (const Steering::ReleasedPacket& packet : released) {
    CHECK_TRUE(packet.mDecision.mAction == Action::Forward);
  }
}

// Guards against released packets that are not reset although their upstream is known to be gone,
// so that the caller waits for its deadline.
TEST(EarlyPackets, FlowOfAnEndedUpstreamIsResetWhenItIsReleased)
{
  SendTagged(1);
  AddUpstream(1, "a", lw::fleet::GONE);
  const auto released = Release();
  LONGS_EQUAL(1, released.size());
  CHECK_TRUE(released[0].mDecision.mAction == Action::Reset);
}

// Guards against packets that bypass the limit on flows when they are released: they wait in the
// queue of their service like others.
TEST(EarlyPackets, ReleasedOpeningWaitsForRoom)
{
  constexpr uint16_t kFlows = 50;
  for (uint16_t port = 1; port <= kFlows; ++port) {
    SendOpening(port, milliseconds(0));
  }
  AddUpstream(1, "a");
  Declare(1);
  size_t forwarded = 0;
  size_t waiting = 0;
  for (const Steering::ReleasedPacket& released : Release()) {
    forwarded += released.mDecision.mAction == Action::Forward ? 1 : 0;
    waiting += released.mDecision.mReason == Reason::Saturated ? 1 : 0;
  }
  CHECK_TRUE(forwarded >= mSlots);
  LONGS_EQUAL(kFlows, forwarded + waiting);
  LONGS_EQUAL(0, Held());
  CHECK_TRUE(Steering::HasHeldOpenings(mState));
}

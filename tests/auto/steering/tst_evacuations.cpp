#include "evacuationsfixture.h"

#include <CppUTest/TestHarness.h>

#include <chrono>

using std::chrono::milliseconds;
using Steering::Action;
using Steering::PacketKind;
using Steering::Reason;

TEST_GROUP(Evacuations), EvacuationsFixture{};

// Guards against new flows to an evacuated zone, also if its upstreams are the least loaded.
TEST(Evacuations, NewFlowsGoToOtherZones)
{
  mSlots = kManySlots;
  Declare(1);
  AddLiveUpstream(1, "a");
  AddLiveUpstream(2, "b");
  DOUBLES_EQUAL(1, ShareOf(1, 100), 0);
  Evacuate(1, { "a" });
  DOUBLES_EQUAL(1, ShareOf(2, 100), 0);
}

// Guards against upstreams of an evacuated zone that are used as a last resort, because the others
// do not answer.
TEST(Evacuations, EvacuatedZoneIsNoLastResort)
{
  mSlots = kManySlots;
  Declare(1);
  AddLiveUpstream(1, "a");
  AddLiveUpstream(2, "b");
  Suspend(2);
  Evacuate(1, { "a" });
  DOUBLES_EQUAL(1, ShareOf(2, 100), 0);
}

// Guards against flows that wait, or are sent to an evacuated zone, if all zones are evacuated.
TEST(Evacuations, FlowsAreRefusedAtOnceIfAllZonesAreEvacuated)
{
  Declare(1);
  AddLiveUpstream(1, "a");
  AddLiveUpstream(2, "b");
  PassTime(mSettings.mLease + milliseconds(1));
  Evacuate(1, { "a", "b" });
  const Steering::Decision decision = Send(1, PacketKind::Opening);
  CHECK_TRUE(decision.mAction == Action::Reset);
  CHECK_TRUE(decision.mReason == Reason::NoUpstream);
  Evacuate(2, {});
  CHECK_TRUE(Send(2, PacketKind::Opening).mAction == Action::Forward);
}

// Guards against open flows that are reset or moved when their zone is evacuated, including a flow
// whose opening packet is repeated late.
TEST(Evacuations, OpenFlowsStay)
{
  Declare(1);
  AddLiveUpstream(1, "a");
  AddLiveUpstream(2, "b");
  const Directory::RouteTag tag = OpenFlow(1);
  CHECK_TRUE(tag == Tag(1));
  Evacuate(1, { "a" });
  CHECK_TRUE(Send(1, PacketKind::MidFlow, tag, true).mTag == tag);
  CHECK_TRUE(SendOpening(1, milliseconds(200)).mTag == tag);
  CHECK_TRUE(Send(1, PacketKind::Closing, tag).mAction == Action::Forward);
}

// Guards against a copy of an opening packet that is sent to an evacuated zone again, because its
// flow was assigned there before the evacuation.
TEST(Evacuations, CopiesOfUnconfirmedFlowsGoElsewhere)
{
  Declare(1);
  AddLiveUpstream(1, "a");
  CHECK_TRUE(SendOpening(1, milliseconds(0)).mTag == Tag(1));
  Evacuate(1, { "a" });
  mNow += milliseconds(200);
  CHECK_TRUE(SendOpening(1, milliseconds(200)).mAction != Action::Forward);
  AddLiveUpstream(2, "b");
  mNow += milliseconds(400);
  CHECK_TRUE(SendOpening(1, milliseconds(600)).mTag == Tag(2));
}

// Guards against held packets that are released to the zone that was evacuated meanwhile.
TEST(Evacuations, HeldPacketsGoElsewhere)
{
  Declare(1);
  AddLiveUpstream(1, "a");
  OpenUntilFull(100);
  CHECK_TRUE(Steering::HasHeldOpenings(mState));
  Evacuate(1, { "a" });
  mSlots = kManySlots;
  AddLiveUpstream(2, "b");
  const auto released = Steering::ReleaseOpenings(mState, mSettings, mNow);
  LONGS_EQUAL(1, released.size());
  CHECK_TRUE(released[0].mDecision.mTag == Tag(2));
  CHECK_TRUE(released[0].mDecision.mIsDiverted);
}

// Guards against held packets that wait until their callers give up, although nobody can serve them
// any more.
TEST(Evacuations, HeldPacketsAreRefusedAtOnceIfNobodyIsLeft)
{
  Declare(1);
  AddLiveUpstream(1, "a");
  PassTime(mSettings.mLease + milliseconds(1));
  OpenUntilFull(100);
  CHECK_TRUE(Steering::HasHeldOpenings(mState));
  Evacuate(1, { "a" });
  const auto released = Steering::ReleaseOpenings(mState, mSettings, mNow);
  LONGS_EQUAL(1, released.size());
  CHECK_TRUE(released[0].mDecision.mAction == Action::Reset);
  CHECK_FALSE(Steering::HasHeldOpenings(mState));
}

// Guards against a count of diverted packets that includes those of other zones' evacuations, or of
// services without upstreams in the evacuated zone.
TEST(Evacuations, OnlyPacketsOfTheOwnZoneAreDiverted)
{
  mSlots = kManySlots;
  Declare(1);
  AddLiveUpstream(2, "b");
  AddLiveUpstream(3, "c");
  Evacuate(1, { "a" });
  CHECK_FALSE(Send(1, PacketKind::Opening).mIsDiverted);
  AddLiveUpstream(1, "a");
  CHECK_TRUE(Send(2, PacketKind::Opening).mIsDiverted);
  Evacuate(2, { "b" });
  CHECK_FALSE(Send(3, PacketKind::Opening).mIsDiverted);
}

// Guards against the demand of an evacuated zone that takes all slots of the others, so that they
// can't serve their own callers any more.
TEST(Evacuations, EvacuatedZoneTakesOnlyItsPartOfTheOthers)
{
  mSlots = 30;
  Declare(1);
  AddLiveUpstream(1, "a");
  AddLiveUpstream(2, "b");
  AddLiveUpstream(3, "c");
  Evacuate(1, { "a" });
  // A third of 60 slots, with 3 flows for each slot.
  LONGS_EQUAL(60, OpenUntilFull(1000));
}

// Guards against a part that grows when a further zone is evacuated, although its demand has to be
// served by the remaining ones as well.
TEST(Evacuations, DemandOfAllEvacuatedZonesIsConsidered)
{
  mSlots = 30;
  Declare(1);
  AddLiveUpstream(1, "a");
  AddLiveUpstream(2, "b");
  AddLiveUpstream(3, "c");
  Evacuate(1, { "a", "b" });
  // A third of 30 slots, with 3 flows for each slot.
  LONGS_EQUAL(30, OpenUntilFull(1000));
}

// Guards against a limit that each instance of the evacuated zone applies as if it were alone.
TEST(Evacuations, PartOfTheOthersIsSharedAmongTheInstances)
{
  mSlots = 30;
  Declare(1);
  AddLiveUpstream(1, "a");
  AddLiveUpstream(2, "b");
  AddLiveUpstream(3, "c");
  Evacuate(1, { "a" });
  mState.mInstances = 6;
  ReportPeerFlows(2, 20);
  // The peers use the whole part, so the instance has its share of the limit.
  LONGS_EQUAL(10, OpenUntilFull(1000));
}

// Guards against slots of other zones that idle, although the peers of the evacuated zone don't use
// their part.
TEST(Evacuations, UnusedPartOfPeersIsLent)
{
  mSlots = 30;
  Declare(1);
  AddLiveUpstream(1, "a");
  AddLiveUpstream(2, "b");
  AddLiveUpstream(3, "c");
  Evacuate(1, { "a" });
  mState.mInstances = 60;
  LONGS_EQUAL(20, OpenUntilFull(1000));
}

// Guards against a service with few remote upstreams and no local ones that is blocked, because the
// share of one of many instances would be less than one flow.
TEST(Evacuations, ServiceWithOnlyRemoteUpstreamsIsServed)
{
  mSlots = 1;
  Declare(1);
  AddLiveUpstream(2, "b");
  mState.mInstances = 150;
  ReportPeerFlows(2, 150);
  LONGS_EQUAL(1, OpenUntilFull(1000));
  // The next flow waits for the end of the first one.
  CHECK_TRUE(Steering::ReleaseOpenings(mState, mSettings, mNow).empty());
  Send(1, PacketKind::Closing, Tag(2));
  LONGS_EQUAL(1, Steering::ReleaseOpenings(mState, mSettings, mNow).size());
}

#include "fixture.h"

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <string>
#include <utility>
#include <vector>

using std::chrono::milliseconds;
using std::chrono::seconds;
using Steering::Action;
using Steering::PacketKind;
using Steering::Reason;

namespace {

constexpr Base::InstanceId kControl{ 7 };
constexpr uint32_t kManySlots = 10000;

struct EvacuationsFixture : SteeringFixture
{
  /// Applies a list of evacuated zones from a control instance.
  void Evacuate(uint64_t aRevision, const std::vector<std::string>& aZones)
  {
    lw::fleet::PollReply reply;
    reply.mutable_evacuations()->set_revision(aRevision);
    for (const std::string& zone : aZones) {
      reply.mutable_evacuations()->add_availability_zones(zone);
    }
    Steering::ApplyPollReply(mState, kControl, reply, mNow);
  }

  /// Lets time pass in which the upstreams keep announcing themselves.
  void PassTime(Base::Duration aDuration)
  {
    mNow += aDuration;
    for (const auto& [id, zone] : mAnnounced) {
      AddUpstream(id, zone);
    }
  }

  void AddLiveUpstream(uint64_t aId, const std::string& aZone)
  {
    mAnnounced.emplace_back(aId, aZone);
    AddUpstream(aId, aZone);
  }

  /// Opens flows and completes their handshakes until one is not forwarded.
  /// \return the number of forwarded flows, at most aLimit.
  uint32_t OpenUntilFull(uint32_t aLimit)
  {
    uint32_t opened = 0;
    while (opened < aLimit) {
      const Steering::Decision decision = Send(++mLastPort, PacketKind::Opening);
      if (decision.mAction != Action::Forward) {
        break;
      }
      Send(mLastPort, PacketKind::MidFlow, decision.mTag, true);
      ++opened;
    }
    return opened;
  }

  /// \return the share of aCount new flows that go to the upstream.
  double ShareOf(uint64_t aUpstream, int aCount)
  {
    int chosen = 0;
    for (int i = 0; i < aCount; ++i) {
      chosen += Send(++mLastPort, PacketKind::Opening).mUpstream.mValue == aUpstream ? 1 : 0;
      Send(mLastPort, PacketKind::Abort);
    }
    return static_cast<double>(chosen) / aCount;
  }

  /// Adds flows of a peer of the zone.
  void ReportPeerFlows(uint64_t aUpstream, uint32_t aFlows)
  {
    lw::fleet::LoadReport report;
    report.set_instance(2);
    report.set_sequence(1);
    lw::fleet::UpstreamLoad* load = report.add_loads();
    load->set_tag(Tag(aUpstream).mValue);
    load->set_outstanding(aFlows);
    Steering::ApplyLoadReport(mState.mReports, mState.mLoads, report, mNow);
  }

  /// Suspends an upstream as if it did not answer.
  void Suspend(uint64_t aUpstream)
  {
    mState.mLoads.mByTag[Tag(aUpstream)].mSuspendedUntil = mNow + std::chrono::hours(1);
  }

  std::vector<std::pair<uint64_t, std::string>> mAnnounced;
  uint16_t mLastPort = 0;
};

} // namespace

TEST_GROUP(Evacuations), EvacuationsFixture{};

// Guards against an instance that goes back to an older list, which a control instance that lags or
// has restarted reports.
TEST(Evacuations, OlderAndEqualRevisionsAreIgnored)
{
  Evacuate(5, { "a" });
  Evacuate(4, {});
  Evacuate(5, { "b" });
  LONGS_EQUAL(5, mState.mEvacuations.mRevision);
  CHECK_TRUE(Steering::IsEvacuated(mState.mEvacuations, "a"));
  CHECK_FALSE(Steering::IsEvacuated(mState.mEvacuations, "b"));
  Evacuate(6, { "b" });
  CHECK_FALSE(Steering::IsEvacuated(mState.mEvacuations, "a"));
  CHECK_TRUE(Steering::IsEvacuated(mState.mEvacuations, "b"));
}

// Guards against a poll reply without evacuations that is read as the end of all of them.
TEST(Evacuations, ReplyWithoutEvacuationsKeepsThem)
{
  Evacuate(1, { "a" });
  Declare(1);
  CHECK_TRUE(Steering::IsEvacuated(mState.mEvacuations, "a"));
}

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

// Guards against a readmitted zone whose cold upstreams get all new flows at once, and against one
// that never gets all of them again.
TEST(Evacuations, ReadmittedZoneStartsSlowly)
{
  constexpr int kFlows = 2000;
  constexpr double kTolerance = 0.04;
  mSlots = kManySlots;
  Declare(1);
  AddLiveUpstream(1, "a");
  AddLiveUpstream(2, "b");
  Evacuate(1, { "a" });
  PassTime(seconds(1));
  Evacuate(2, {});
  DOUBLES_EQUAL(0.25, ShareOf(1, kFlows), kTolerance);
  PassTime(seconds(4));
  DOUBLES_EQUAL(0.55, ShareOf(1, kFlows), kTolerance);
  PassTime(seconds(4));
  DOUBLES_EQUAL(0.85, ShareOf(1, kFlows), kTolerance);
  PassTime(seconds(2));
  DOUBLES_EQUAL(1, ShareOf(1, kFlows), 0);
  Steering::Expire(mState, mNow);
  CHECK_TRUE(mState.mEvacuations.mReadmittedAt.empty());
}

// Guards against a remote zone that is readmitted without a slow start.
TEST(Evacuations, ReadmittedRemoteZoneStartsSlowly)
{
  mSlots = kManySlots;
  Declare(1);
  AddLiveUpstream(2, "b");
  AddLiveUpstream(3, "c");
  Evacuate(1, { "b" });
  Evacuate(2, {});
  // Without a slow start, half of the flows would go there.
  CHECK_TRUE(ShareOf(2, 2000) < 0.25);
}

// Guards against a zone that stays evacuated, or keeps its slow start, if the list changes again.
TEST(Evacuations, ZoneUnderSlowStartCanBeEvacuatedAgain)
{
  mSlots = kManySlots;
  Declare(1);
  AddLiveUpstream(1, "a");
  AddLiveUpstream(2, "b");
  Evacuate(1, { "a" });
  Evacuate(2, {});
  Evacuate(3, { "a" });
  CHECK_TRUE(mState.mEvacuations.mReadmittedAt.empty());
  DOUBLES_EQUAL(0, ShareOf(1, 200), 0);
  // The slow start must not begin again because of another zone.
  Evacuate(4, {});
  PassTime(seconds(5));
  Evacuate(5, { "c" });
  DOUBLES_EQUAL(0.625, Steering::ShareOfNewFlows(mState.mEvacuations, "a", mNow), 0.001);
}

// Guards against flows that are refused or held during a slow start, although the zone under slow
// start is the only one that can serve them.
TEST(Evacuations, ZoneUnderSlowStartIsUsedIfNothingElseIsLeft)
{
  mSlots = kManySlots;
  Declare(1);
  AddLiveUpstream(1, "a");
  Evacuate(1, { "a" });
  Evacuate(2, {});
  DOUBLES_EQUAL(1, ShareOf(1, 200), 0);
  // Unresponsive upstreams of another zone are no alternative.
  AddLiveUpstream(2, "b");
  Suspend(2);
  DOUBLES_EQUAL(1, ShareOf(1, 200), 0);
}

// Guards against flows that are held while other zones have no room and the zone under slow start
// has.
TEST(Evacuations, ZoneUnderSlowStartIsUsedIfOthersAreFull)
{
  constexpr uint32_t kFlows = 1000;
  mSlots = 1;
  Declare(1);
  AddLiveUpstream(2, "b");
  mSlots = kManySlots;
  AddLiveUpstream(1, "a");
  Evacuate(1, { "a" });
  Evacuate(2, {});
  LONGS_EQUAL(kFlows, OpenUntilFull(kFlows));
}

// Guards against random numbers drawn without a slow start, which would change the choices of
// deployments that never evacuate.
TEST(Evacuations, ChoicesWithoutSlowStartUseNoFurtherRandomNumbers)
{
  Base::RandomSource random{ 1 };
  CHECK_TRUE(Steering::SelectZonesToAvoid(mState.mEvacuations, random, mNow).empty());
  Evacuate(1, { "a" });
  CHECK_TRUE(Steering::SelectZonesToAvoid(mState.mEvacuations, random, mNow).empty());
  LONGS_EQUAL(1, random.mState);
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

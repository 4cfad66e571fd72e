#include "fixture.h"

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <map>
#include <vector>

using std::chrono::milliseconds;
using std::chrono::seconds;
using Steering::PacketKind;

namespace {

struct EjectionsFixture : SteeringFixture
{
  EjectionsFixture()
  {
    mSlots = 50;
    mSettings.mLease = std::chrono::hours(1);
    mState.mOutliers.mEnabled = true;
    Steering::RecordRunning(mState.mOutliers, mNow);
    Declare(1);
  }

  void AddUpstreams(uint64_t aCount)
  {
    for (uint64_t id = 1; id <= aCount; ++id) {
      AddUpstream(id, "a");
    }
  }

  void Record(uint64_t aId, int aAnswered, int aUnanswered)
  {
    for (int i = 0; i < aAnswered; ++i) {
      Steering::RecordAnsweredRequest(mState.mOutliers, Tag(aId), mNow, mNow);
    }
    for (int i = 0; i < aUnanswered; ++i) {
      Steering::RecordUnansweredRequest(mState.mOutliers, Tag(aId), mNow, mNow);
    }
  }

  /// Lets time pass in the ticks of an instance.
  std::vector<Steering::OutlierChange> Advance(milliseconds aTime)
  {
    std::vector<Steering::OutlierChange> changes;
    for (milliseconds elapsed{ 0 }; elapsed < aTime; elapsed += milliseconds(100)) {
      mNow += milliseconds(100);
      Steering::Expire(mState, mNow);
      for (const Steering::OutlierChange& change : Update()) {
        changes.push_back(change);
      }
    }
    return changes;
  }

  std::vector<Steering::OutlierChange> Update()
  {
    return Steering::UpdateOutliers(
      mState.mOutliers, mState.mLoads, mState.mDirectory, mState.mRoutes, mState.mInstances, mNow);
  }

  void ReceiveReport(uint64_t aId, uint32_t aAnswered, uint32_t aUnanswered)
  {
    lw::fleet::LoadReport report;
    report.set_instance(7);
    report.set_incarnation(1);
    report.set_sequence(++mReports);
    report.set_interval_ms(100);
    lw::fleet::UpstreamLoad* load = report.add_loads();
    load->set_tag(Tag(aId).mValue);
    load->set_answered_requests(aAnswered);
    load->set_unanswered_requests(aUnanswered);
    Steering::ApplyPeerReport(mState, report, mNow);
  }

  /// Opens flows and completes their handshakes.
  /// \return the number of flows that went to the upstream.
  int OpenFlows(uint64_t aId, int aCount)
  {
    int opened = 0;
    for (int i = 0; i < aCount; ++i) {
      const Steering::Decision decision = Send(++mPort, PacketKind::Opening);
      Send(mPort, PacketKind::MidFlow, decision.mTag);
      opened += decision.mUpstream.mValue == aId ? 1 : 0;
    }
    return opened;
  }

  Steering::Decision SendData(uint16_t aPort, Directory::RouteTag aTag, uint32_t aSequence)
  {
    Steering::Packet packet;
    packet.mFlow = { { 0x64400001, aPort }, { kServiceAddress, kServicePort } };
    packet.mKind = PacketKind::MidFlow;
    packet.mTag = aTag;
    packet.mCarriesData = true;
    packet.mSequence = aSequence;
    return Steering::Steer(mState, mSettings, packet, mNow);
  }

  Steering::RequestCounts Own(uint64_t aId)
  {
    return Steering::RoundedCounts(mState.mOutliers.mByTag[Tag(aId)].mOwn, mNow);
  }

  uint16_t mPort = 1000;
  uint64_t mReports = 0;
};

} // namespace

TEST_GROUP(Ejections), EjectionsFixture{};

// Guards against ejections after a common restart or in a flood, when requests wait in the queues
// of upstreams: the rest would have to take the load of the ejected ones as well.
TEST(Ejections, SaturatedServiceEjectsNone)
{
  AddUpstreams(6);
  for (const bool isHeldHere : { true, false }) {
    Record(1, 0, 5);
    if (isHeldHere) {
      Steering::RecordSaturation(mState.mOutliers, "desk", mNow);
    } else {
      for (uint64_t id = 1; id <= 6; ++id) {
        mState.mLoads.mByTag[Tag(id)].mPeerFlows = mSlots;
      }
    }
    LONGS_EQUAL(0, Update().size());
    for (uint64_t id = 1; id <= 6; ++id) {
      mState.mLoads.mByTag[Tag(id)].mPeerFlows = 0;
    }
    LONGS_EQUAL(0, Advance(milliseconds(1900)).size());
  }
  Record(1, 0, 5);
  Advance(milliseconds(200));
  LONGS_EQUAL(1, Steering::CountEjected(mState.mOutliers));
}

// Guards against thresholds that are off by one: two lost requests are enough, one is not.
TEST(Ejections, TwoUnansweredRequestsAreEnough)
{
  AddUpstreams(3);
  Record(1, 0, 1);
  LONGS_EQUAL(0, Update().size());
  ReceiveReport(1, 0, 1);
  const auto changes = Update();
  LONGS_EQUAL(1, changes.size());
  CHECK_TRUE(changes[0].mIsEjected);
  LONGS_EQUAL(1, changes[0].mUpstream.mValue);
  LONGS_EQUAL(2, changes[0].mUnanswered);
  CHECK_TRUE(changes[0].mDuration == seconds(1));
}

// Guards against new flows to an ejected upstream, and against flows that are held because the
// only upstream with room is ejected.
TEST(Ejections, EjectedUpstreamGetsNoNewFlowWhileThereIsAnother)
{
  AddUpstreams(2);
  Record(1, 0, 3);
  LONGS_EQUAL(1, Update().size());
  LONGS_EQUAL(0, OpenFlows(1, 30));
  AddUpstream(2, "a", lw::fleet::DRAINING);
  LONGS_EQUAL(5, OpenFlows(1, 5));
}

// Guards against faults of many upstreams that take all of them out of the choice.
TEST(Ejections, AtMostAThirdIsEjected)
{
  AddUpstreams(9);
  for (uint64_t id = 1; id <= 9; ++id) {
    Record(id, id <= 4 ? 0 : 100, id <= 4 ? 10 : 0);
  }
  LONGS_EQUAL(3, Update().size());
  LONGS_EQUAL(3, Steering::CountEjected(mState.mOutliers));
}

// Guards against an ejection that takes the only upstream that holds an open flow from the flow.
TEST(Ejections, OpenFlowsStay)
{
  AddUpstreams(2);
  const Directory::RouteTag tag = OpenFlow(1);
  const uint64_t id = tag == Tag(1) ? 1 : 2;
  Record(id, 0, 9);
  LONGS_EQUAL(1, Update().size());
  const Steering::Decision decision = SendData(1, tag, 1);
  CHECK_TRUE(decision.mAction == Steering::Action::Forward);
  LONGS_EQUAL(id, decision.mUpstream.mValue);
}

// Guards against the loss of more capacity than the other upstreams can replace, and against a
// choice of the less faulty ones.
TEST(Ejections, AtMostAThirdWithTheLargestShares)
{
  AddUpstreams(12);
  for (uint64_t id = 1; id <= 3; ++id) {
    Record(id, 0, 40);
    LONGS_EQUAL(1, Update().size());
    // Longer than the counts last.
    Advance(milliseconds(8000));
  }
  LONGS_EQUAL(3, Steering::CountEjected(mState.mOutliers));
  for (uint64_t id = 4; id <= 12; ++id) {
    Record(id, 100, 0);
  }
  Record(4, 0, 100);
  Record(5, 0, 200);
  const auto changes = Update();
  LONGS_EQUAL(1, changes.size());
  LONGS_EQUAL(5, changes[0].mUpstream.mValue);
  LONGS_EQUAL(4, Steering::CountEjected(mState.mOutliers));
}

// Guards against the ejection of the only upstream of a service.
TEST(Ejections, OnlyUpstreamIsNotEjected)
{
  AddUpstreams(1);
  Record(1, 0, 9);
  LONGS_EQUAL(0, Update().size());
}

// Guards against a service that loses an upstream because all of them stopped answering.
TEST(Ejections, WholeServiceStopsAnswering)
{
  AddUpstreams(6);
  for (uint64_t id = 1; id <= 6; ++id) {
    Record(id, 0, 5 + static_cast<int>(id));
  }
  LONGS_EQUAL(0, Update().size());
}

// Guards against many flows at once to an upstream whose fault may last, and against ejections
// that do not grow.
TEST(Ejections, ProbesOneFlowAndDoublesTheEjection)
{
  AddUpstreams(2);
  milliseconds expected = seconds(1);
  Record(1, 0, 3);
  auto changes = Update();
  for (int i = 0; i < 5; ++i) {
    LONGS_EQUAL(1, changes.size());
    CHECK_TRUE(changes[0].mDuration == expected);
    LONGS_EQUAL(0, Advance(expected).size());
    LONGS_EQUAL(1, OpenFlows(1, 60));
    Record(1, 0, 1);
    changes = Update();
    expected = std::min<milliseconds>(2 * expected, seconds(8));
  }
}

// Guards against an upstream that stays ejected although it answers again.
TEST(Ejections, AnswerEndsTheEjection)
{
  AddUpstreams(2);
  Record(1, 0, 3);
  Update();
  Advance(seconds(1));
  Record(1, 1, 0);
  const auto changes = Update();
  LONGS_EQUAL(1, changes.size());
  CHECK_FALSE(changes[0].mIsEjected);
  LONGS_EQUAL(0, Own(1).mUnanswered);
  CHECK_TRUE(OpenFlows(1, 60) > 10);
}

// Guards against a peer's count from the time before the ejection that ejects a good upstream
// again.
TEST(Ejections, OldReportDoesNotEjectAgain)
{
  AddUpstreams(2);
  ReceiveReport(1, 0, 3);
  LONGS_EQUAL(1, Update().size());
  for (int i = 0; i < 10; ++i) {
    ReceiveReport(1, 0, 3);
    Advance(milliseconds(100));
  }
  Record(1, 1, 0);
  LONGS_EQUAL(1, Update().size());
  ReceiveReport(1, 0, 3);
  LONGS_EQUAL(0, Update().size());
  ReceiveReport(1, 0, 5);
  LONGS_EQUAL(1, Update().size());
}

// Guards against a lost request that cannot be repeated although another route of the service
// could have provided the probe.
TEST(Ejections, ProbesWithRepeatableRequestsIfThereAreAny)
{
  AddUpstreams(2);
  mState.mRoutes.mRoutes[{ kServiceAddress, kUrgentPort }].mIsRepeatable = true;
  Record(1, 0, 3);
  Update();
  Advance(seconds(1));
  LONGS_EQUAL(0, OpenFlows(1, 60));
  int probes = 0;
  for (int i = 0; i < 60; ++i) {
    probes += SendOpening(++mPort, milliseconds(0), kUrgentPort).mUpstream.mValue == 1 ? 1 : 0;
  }
  LONGS_EQUAL(1, probes);
}

// Guards against counts of a peer that died, which no later report corrects.
TEST(Ejections, CountsOfADeadPeerEndWithItsReport)
{
  AddUpstreams(3);
  ReceiveReport(1, 0, 9);
  LONGS_EQUAL(9, Steering::LoadOf(mState.mLoads, Tag(1)).mPeerUnanswered);
  mNow += seconds(2);
  Steering::Expire(mState, mNow);
  LONGS_EQUAL(0, Steering::LoadOf(mState.mLoads, Tag(1)).mPeerUnanswered);
  LONGS_EQUAL(0, Update().size());
}

// Guards against evidence that is not collected from the caller's packets, and against copies of a
// request that count as later requests and thereby as answers.
TEST(Ejections, CountsRequestsFromThePacketsOfTheCaller)
{
  AddUpstreams(1);
  Steering::Expire(mState, mNow);
  const Directory::RouteTag tag = Send(1, PacketKind::Opening).mTag;
  SendData(1, tag, 100);
  mNow += milliseconds(40);
  SendData(1, tag, 100);
  LONGS_EQUAL(0, Own(1).mAnswered);
  SendData(1, tag, 200);
  LONGS_EQUAL(1, Own(1).mAnswered);
  mNow += milliseconds(40);
  Send(1, PacketKind::MidFlow, tag);
  LONGS_EQUAL(2, Own(1).mAnswered);
  SendData(1, tag, 300);
  mNow += milliseconds(900);
  Steering::Expire(mState, mNow);
  LONGS_EQUAL(1, Own(1).mUnanswered);
  SendData(1, tag, 300);
  mNow += milliseconds(900);
  Steering::Expire(mState, mNow);
  LONGS_EQUAL(1, Own(1).mUnanswered);
}

// Guards against an instance that was frozen and takes its own pause for a fault of the upstreams.
TEST(Ejections, RequestsBeforeAPauseOfTheInstanceDoNotCount)
{
  AddUpstreams(2);
  Steering::Expire(mState, mNow);
  for (uint16_t port = 1; port <= 6; ++port) {
    SendData(port, Send(port, PacketKind::Opening).mTag, 100);
  }
  mNow += milliseconds(1500);
  Steering::Expire(mState, mNow);
  LONGS_EQUAL(0, Own(1).mUnanswered + Own(2).mUnanswered);
}

// Guards against reports that are larger without a fault, and against other counts or choices while
// the setting is off.
TEST(Ejections, NothingIsCountedOrReportedWhileOff)
{
  AddUpstreams(2);
  Record(2, 5, 0);
  LONGS_EQUAL(0, Steering::MakePeerReport(mState, mNow).loads_size());
  Record(1, 0, 2);
  const lw::fleet::LoadReport report = Steering::MakePeerReport(mState, mNow);
  LONGS_EQUAL(1, report.loads_size());
  LONGS_EQUAL(2, report.loads(0).unanswered_requests());
  mState.mOutliers = Steering::Outliers();
  Steering::RecordRunning(mState.mOutliers, mNow);
  Record(1, 3, 9);
  LONGS_EQUAL(0, mState.mOutliers.mByTag.size());
  LONGS_EQUAL(0, Steering::MakePeerReport(mState, mNow).loads_size());
  ReceiveReport(1, 0, 9);
  LONGS_EQUAL(0, Update().size());
  CHECK_TRUE(OpenFlows(1, 60) > 10);
}

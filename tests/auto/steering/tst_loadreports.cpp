#include "steering/loadreports.h"

#include <CppUTest/TestHarness.h>

#include <chrono>

using Directory::RouteTag;
using std::chrono::seconds;

TEST_GROUP(LoadReports)
{
  Steering::LoadTable mLoads;
  Steering::PeerReports mReports;
  Base::TimePoint mNow{ seconds(100) };

  void ReceiveReport(
    uint32_t aInstance, uint64_t aIncarnation, uint64_t aSequence, uint32_t aOutstanding)
  {
    lw::fleet::LoadReport report;
    report.set_instance(aInstance);
    report.set_incarnation(aIncarnation);
    report.set_sequence(aSequence);
    lw::fleet::UpstreamLoad* load = report.add_loads();
    load->set_tag(7);
    load->set_outstanding(aOutstanding);
    load->set_suspended(aOutstanding == 0);
    Steering::ApplyLoadReport(mReports, mLoads, report, mNow);
  }

  uint32_t PeerFlows() const
  {
    return Steering::LoadOf(mLoads, RouteTag(7)).mPeerFlows;
  }
};

// Guards against reports that are counted twice, applied out of order, or rejected after a restart
// of the peer.
TEST(LoadReports, NewestReportOfEachPeerCounts)
{
  ReceiveReport(1, 5, 1, 3);
  ReceiveReport(2, 5, 1, 2);
  LONGS_EQUAL(5, PeerFlows());
  ReceiveReport(1, 5, 3, 1);
  ReceiveReport(1, 5, 2, 9);
  LONGS_EQUAL(3, PeerFlows());
  ReceiveReport(1, 6, 1, 4);
  LONGS_EQUAL(6, PeerFlows());
}

// Guards against a crashed peer whose load is counted forever.
TEST(LoadReports, ReportsOfSilentPeersExpire)
{
  ReceiveReport(1, 5, 1, 3);
  mNow += seconds(2);
  Steering::ExpireReports(mReports, mLoads, mNow);
  LONGS_EQUAL(0, PeerFlows());
}

// Guards against loads that expire between two reports in a large availability zone, where the
// report interval is long.
TEST(LoadReports, LongReportIntervalExtendsLifetime)
{
  lw::fleet::LoadReport report;
  report.set_instance(1);
  report.set_interval_ms(1500);
  report.add_loads()->set_tag(7);
  report.mutable_loads(0)->set_outstanding(3);
  Steering::ApplyLoadReport(mReports, mLoads, report, mNow);
  mNow += seconds(4);
  Steering::ExpireReports(mReports, mLoads, mNow);
  LONGS_EQUAL(3, PeerFlows());
  mNow += seconds(1);
  Steering::ExpireReports(mReports, mLoads, mNow);
  LONGS_EQUAL(0, PeerFlows());
}

// Guards against an unresponsive upstream that every instance has to detect itself, and against a
// peer's report that overrides an answer received by this instance.
TEST(LoadReports, SuspensionByAPeerCountsWithoutOwnAnswers)
{
  ReceiveReport(1, 5, 1, 0);
  CHECK_TRUE(Steering::IsSuspended(Steering::LoadOf(mLoads, RouteTag(7)), mNow));
  Steering::RecordAnswer(mLoads.mByTag[RouteTag(7)], mNow);
  CHECK_FALSE(Steering::IsSuspended(Steering::LoadOf(mLoads, RouteTag(7)), mNow));
}

// Guards against an unresponsive upstream that is retried too often.
TEST(LoadReports, SuspensionsGrowUntilAnAnswer)
{
  Steering::Load& load = mLoads.mByTag[RouteTag(7)];
  CHECK_TRUE(Steering::RecordUnanswered(load, mNow, mNow));
  const Base::Duration first = load.mSuspendedUntil - mNow;
  mNow = load.mSuspendedUntil;
  CHECK_TRUE(Steering::RecordUnanswered(load, mNow, mNow));
  CHECK_TRUE(load.mSuspendedUntil - mNow == first * 2);
  Steering::RecordAnswer(load, mNow);
  CHECK_FALSE(Steering::RecordUnanswered(load, mNow - seconds(1), mNow));
  CHECK_FALSE(Steering::IsSuspended(load, mNow));
}

// Guards against a table that keeps an entry for every upstream that ever received a flow.
TEST(LoadReports, UnusedLoadsAreRemoved)
{
  Steering::RecordAnswer(mLoads.mByTag[RouteTag(1)], mNow);
  mLoads.mByTag[RouteTag(2)].mOwnFlows = 1;
  ReceiveReport(1, 5, 1, 3);
  Steering::RecordUnanswered(mLoads.mByTag[RouteTag(3)], mNow, mNow);
  Steering::RemoveUnusedLoads(mLoads, mNow);
  LONGS_EQUAL(4, mLoads.mByTag.size());
  mNow += seconds(120);
  Steering::RemoveUnusedLoads(mLoads, mNow);
  LONGS_EQUAL(2, mLoads.mByTag.size());
  LONGS_EQUAL(3, PeerFlows());
}

// Guards against reports that contain upstreams without own flows or suspension.
TEST(LoadReports, ReportNamesLoadedAndSuspendedUpstreams)
{
  mLoads.mByTag[RouteTag(1)].mOwnFlows = 2;
  mLoads.mByTag[RouteTag(2)].mSuspendedUntil = mNow + seconds(1);
  mLoads.mByTag[RouteTag(3)].mPeerFlows = 4;
  LONGS_EQUAL(2, Steering::MakeReport(mLoads, mNow).loads_size());
}

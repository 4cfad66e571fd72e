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

  void Take(uint32_t aInstance, uint64_t aIncarnation, uint64_t aSequence, uint32_t aOutstanding)
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

  uint32_t Peers() const
  {
    return Steering::LoadOf(mLoads, RouteTag(7)).mPeerFlows;
  }
};

// Guards against reports that are counted twice, out of order, or after a restart of the peer.
TEST(LoadReports, NewestReportOfEachPeerCounts)
{
  Take(1, 5, 1, 3);
  Take(2, 5, 1, 2);
  LONGS_EQUAL(5, Peers());
  Take(1, 5, 3, 1);
  Take(1, 5, 2, 9);
  LONGS_EQUAL(3, Peers());
  Take(1, 6, 1, 4);
  LONGS_EQUAL(6, Peers());
}

// Guards against the load of a peer that has died.
TEST(LoadReports, SilentPeerIsForgotten)
{
  Take(1, 5, 1, 3);
  mNow += seconds(2);
  Steering::ExpireReports(mReports, mLoads, mNow);
  LONGS_EQUAL(0, Peers());
}

// Guards against peers of a large availability zone that count as dead between their rare reports.
TEST(LoadReports, RareReportsCountForLonger)
{
  lw::fleet::LoadReport report;
  report.set_instance(1);
  report.set_interval_ms(1500);
  report.add_loads()->set_tag(7);
  report.mutable_loads(0)->set_outstanding(3);
  Steering::ApplyLoadReport(mReports, mLoads, report, mNow);
  mNow += seconds(4);
  Steering::ExpireReports(mReports, mLoads, mNow);
  LONGS_EQUAL(3, Peers());
  mNow += seconds(1);
  Steering::ExpireReports(mReports, mLoads, mNow);
  LONGS_EQUAL(0, Peers());
}

// Guards against an upstream that each instance has to find out by itself, and against a report
// that overrules what this instance sees.
TEST(LoadReports, SuspensionByAPeerCountsWithoutOwnAnswers)
{
  Take(1, 5, 1, 0);
  CHECK_TRUE(Steering::IsSuspended(Steering::LoadOf(mLoads, RouteTag(7)), mNow));
  Steering::RecordAnswer(mLoads.mByTag[RouteTag(7)], mNow);
  CHECK_FALSE(Steering::IsSuspended(Steering::LoadOf(mLoads, RouteTag(7)), mNow));
}

// Guards against an upstream that is tried too often while it stays silent.
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

// Guards against a table that grows with each upstream that ever got a flow.
TEST(LoadReports, UnusedLoadsAreForgotten)
{
  Steering::RecordAnswer(mLoads.mByTag[RouteTag(1)], mNow);
  mLoads.mByTag[RouteTag(2)].mOwnFlows = 1;
  Take(1, 5, 1, 3);
  Steering::RecordUnanswered(mLoads.mByTag[RouteTag(3)], mNow, mNow);
  Steering::RemoveUnusedLoads(mLoads, mNow);
  LONGS_EQUAL(4, mLoads.mByTag.size());
  mNow += seconds(120);
  Steering::RemoveUnusedLoads(mLoads, mNow);
  LONGS_EQUAL(2, mLoads.mByTag.size());
  LONGS_EQUAL(3, Peers());
}

// Guards against reports that tell of upstreams without anything to say.
TEST(LoadReports, ReportNamesLoadedAndSuspendedUpstreams)
{
  mLoads.mByTag[RouteTag(1)].mOwnFlows = 2;
  mLoads.mByTag[RouteTag(2)].mSuspendedUntil = mNow + seconds(1);
  mLoads.mByTag[RouteTag(3)].mPeerFlows = 4;
  LONGS_EQUAL(2, Steering::MakeReport(mLoads, mNow).loads_size());
}

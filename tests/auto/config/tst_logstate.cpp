#include "config/logstate.h"

#include <CppUTest/TestHarness.h>

#include <chrono>

namespace {

constexpr std::chrono::hours kWindow{ 1 };

lw::config::Change
Put(uint64_t aBase, uint64_t aNumber)
{
  lw::config::Change change;
  change.set_base_version(aBase);
  change.set_operator_id("op");
  change.set_request_number(aNumber);
  change.mutable_put_service()->set_name("a");
  change.mutable_put_service()->set_address("192.0.2.1:1");
  change.mutable_put_service()->set_kind(lw::config::OPAQUE);
  return change;
}

lw::feed::InstanceReport
MakeReport(uint64_t aInstance, uint64_t aVersion)
{
  lw::feed::InstanceReport report;
  report.set_instance(aInstance);
  report.set_version_in_force(aVersion);
  return report;
}

} // namespace

TEST_GROUP(LogState)
{
  Config::LogState mState;
  Config::ReportTable mReports;
  Base::TimePoint mNow;

  int Releasable()
  {
    return Config::ReleasableAddresses(mState.mState, mReports, mNow, kWindow).addresses_size();
  }
};

// Guards against a snapshot without outcomes or recent revisions, after which a resend is applied
// again or followers must load the whole state.
TEST(LogState, SnapshotKeepsOutcomesAndRevisions)
{
  for (uint64_t number = 1; number <= 3; ++number) {
    CHECK_TRUE(Config::ApplyCommand(mState, Config::MakeCommand(Put(number - 1, number), 5)).ok());
  }
  const auto loaded = Config::LoadLogState(Config::SaveLogState(mState));
  CHECK_TRUE(loaded.ok());
  mState = *loaded;
  CHECK_TRUE(*Config::ApplyCommand(mState, Config::MakeCommand(Put(0, 1), 6)) ==
             Base::ConfigVersion(1));
  LONGS_EQUAL(2, Config::RevisionsAfter(mState, 1).revisions_size());
  LONGS_EQUAL(0, Config::RevisionsAfter(mState, 3).revisions_size());
}

// Guards against gaps in the revisions of a follower after old revisions were dropped.
TEST(LogState, FollowersFarBehindGetTheState)
{
  for (uint64_t number = 1; number <= 300; ++number) {
    CHECK_TRUE(Config::ApplyCommand(mState, Config::MakeCommand(Put(number - 1, number), 5)).ok());
  }
  CHECK_TRUE(Config::RevisionsAfter(mState, 43).has_snapshot());
  CHECK_FALSE(Config::RevisionsAfter(mState, 44).has_snapshot());
  LONGS_EQUAL(256, Config::RevisionsAfter(mState, 44).revisions_size());
}

// Guards against releasing an address while an instance may still send packets for the removed
// service, including the time after a start of the control instance when no reports are known.
TEST(LogState, ReleasesOnlyWhenEveryRecentReportHasTheRemoval)
{
  lw::config::RetiredAddress* retired = mState.mState.add_retired_addresses();
  retired->set_address("192.0.2.1:1");
  retired->set_removed_in_version(7);
  LONGS_EQUAL(0, Releasable());
  mNow += std::chrono::minutes(30);
  Config::AddReport(mReports, MakeReport(1, 6), mNow);
  Config::AddReport(mReports, MakeReport(2, 7), mNow);
  mNow += std::chrono::minutes(59);
  LONGS_EQUAL(0, Releasable());
  Config::AddReport(mReports, MakeReport(2, 8), mNow);
  mNow += std::chrono::minutes(1);
  LONGS_EQUAL(1, Releasable());
  Config::AddReport(mReports, MakeReport(1, 6), mNow);
  LONGS_EQUAL(0, Releasable());
  Config::AddReport(mReports, MakeReport(1, 7), mNow);
  LONGS_EQUAL(1, Releasable());
}

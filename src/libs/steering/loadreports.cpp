#include "steering/loadreports.h"

#include <algorithm>
#include <chrono>

namespace Steering {

namespace {

/// Below the time that most work takes, so that a report mostly tells of work that still runs.
constexpr std::chrono::milliseconds kLeastReportInterval{ 50 };
constexpr std::chrono::milliseconds kReportIntervalForPeer{ 3 };
/// Older figures say nothing of work that takes some ten milliseconds.
constexpr std::chrono::milliseconds kReportLifetime{ 1000 };
/// Reports of a peer that may be lost before it counts as silent, where they are rare.
constexpr int kIntervalsInLifetime = 3;

Base::Duration
LifetimeOf(const lw::fleet::LoadReport& aReport)
{
  const std::chrono::milliseconds interval(aReport.interval_ms());
  return std::max<Base::Duration>(kReportLifetime, interval * kIntervalsInLifetime);
}

enum class Sign
{
  Add,
  Remove
};

void
Count(LoadTable& aTable, const lw::fleet::LoadReport& aReport, Sign aSign)
{
  for (const lw::fleet::UpstreamLoad& reported : aReport.loads()) {
    Load& load = aTable.mByTag[Directory::RouteTag(reported.tag())];
    const uint32_t suspended = reported.suspended() ? 1 : 0;
    if (aSign == Sign::Add) {
      load.mPeers += reported.outstanding();
      load.mSuspendedByPeers += suspended;
    } else {
      load.mPeers -= reported.outstanding();
      load.mSuspendedByPeers -= suspended;
    }
  }
}

} // namespace

Base::Duration
ReportInterval(size_t aPeers)
{
  return std::max<Base::Duration>(kLeastReportInterval, kReportIntervalForPeer * aPeers);
}

lw::fleet::LoadReport
MakeReport(const LoadTable& aTable, Base::TimePoint aNow)
{
  lw::fleet::LoadReport report;
  for (const auto& [tag, load] : aTable.mByTag) {
    const bool suspended = aNow < load.mSuspendedUntil;
    if (load.mOwn == 0 && !suspended) {
      continue;
    }
    lw::fleet::UpstreamLoad* reported = report.add_loads();
    reported->set_tag(tag.mValue);
    reported->set_outstanding(load.mOwn);
    reported->set_suspended(suspended);
  }
  return report;
}

void
TakeReport(PeerReports& aReports,
           LoadTable& aTable,
           const lw::fleet::LoadReport& aReport,
           Base::TimePoint aNow)
{
  const auto [known, added] = aReports.mByInstance.try_emplace(aReport.instance());
  PeerReports::Entry& entry = known->second;
  if (!added) {
    const bool sameRun = entry.mReport.incarnation() == aReport.incarnation();
    if (sameRun && entry.mReport.sequence() >= aReport.sequence()) {
      return;
    }
    Count(aTable, entry.mReport, Sign::Remove);
  }
  entry = { aReport, aNow };
  Count(aTable, aReport, Sign::Add);
}

void
ExpireReports(PeerReports& aReports, LoadTable& aTable, Base::TimePoint aNow)
{
  for (auto item = aReports.mByInstance.begin(); item != aReports.mByInstance.end();) {
    if (aNow - item->second.mReceivedAt < LifetimeOf(item->second.mReport)) {
      ++item;
      continue;
    }
    Count(aTable, item->second.mReport, Sign::Remove);
    item = aReports.mByInstance.erase(item);
  }
}

} // namespace Steering

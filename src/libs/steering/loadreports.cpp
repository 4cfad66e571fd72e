#include "steering/loadreports.h"

#include <algorithm>
#include <chrono>

namespace Steering {

namespace {

/// Shorter than most requests, so that most of the requests in a report are still running when it
/// arrives.
constexpr std::chrono::milliseconds kMinReportInterval{ 50 };
constexpr std::chrono::milliseconds kReportIntervalPerPeer{ 3 };
/// Requests take tens of milliseconds, so older reports no longer describe the current load.
constexpr std::chrono::milliseconds kReportLifetime{ 1000 };
/// Minimum lifetime of a report in report intervals. With long intervals, a few lost reports must
/// not make the peer's load expire.
constexpr int kMinLifetimeIntervals = 3;

Base::Duration
LifetimeFor(Base::Duration aInterval)
{
  return std::max<Base::Duration>(kReportLifetime, aInterval * kMinLifetimeIntervals);
}

Base::Duration
LifetimeOf(const lw::fleet::LoadReport& aReport)
{
  return LifetimeFor(std::chrono::milliseconds(aReport.interval_ms()));
}

enum class LoadUpdate
{
  Add,
  Remove
};

void
UpdatePeerLoads(LoadTable& aTable, const lw::fleet::LoadReport& aReport, LoadUpdate aUpdate)
{
  for (const lw::fleet::UpstreamLoad& reported : aReport.loads()) {
    Load& load = aTable.mByTag[Directory::RouteTag(reported.tag())];
    const uint32_t suspended = reported.suspended() ? 1 : 0;
    if (aUpdate == LoadUpdate::Add) {
      load.mPeerFlows += reported.outstanding();
      load.mSuspendedByPeers += suspended;
      load.mPeerAnswered += reported.answered_requests();
      load.mPeerUnanswered += reported.unanswered_requests();
    } else {
      load.mPeerFlows -= reported.outstanding();
      load.mSuspendedByPeers -= suspended;
      load.mPeerAnswered -= reported.answered_requests();
      load.mPeerUnanswered -= reported.unanswered_requests();
    }
  }
}

} // namespace

Base::Duration
ReportInterval(size_t aPeers)
{
  return std::max<Base::Duration>(kMinReportInterval, kReportIntervalPerPeer * aPeers);
}

Base::Duration
ReportLifetime(size_t aPeers)
{
  return LifetimeFor(ReportInterval(aPeers));
}

std::vector<LivePeer>
LivePeers(const PeerReports& aReports, Base::TimePoint aNow)
{
  std::vector<LivePeer> live;
  for (const auto& [instance, entry] : aReports.mByInstance) {
    if (aNow - entry.mReceivedAt < LifetimeOf(entry.mReport)) {
      const auto& notReceivedFrom = entry.mReport.not_received_from();
      live.push_back({ instance, { notReceivedFrom.begin(), notReceivedFrom.end() } });
    }
  }
  return live;
}

lw::fleet::LoadReport
MakeReport(const LoadTable& aTable, Base::TimePoint aNow)
{
  lw::fleet::LoadReport report;
  for (const auto& [tag, load] : aTable.mByTag) {
    const bool suspended = aNow < load.mSuspendedUntil;
    if (load.mOwnFlows == 0 && !suspended) {
      continue;
    }
    lw::fleet::UpstreamLoad* reported = report.add_loads();
    reported->set_tag(tag.mValue);
    reported->set_outstanding(load.mOwnFlows);
    reported->set_suspended(suspended);
  }
  return report;
}

void
AddRequestCounts(const Outliers& aOutliers, Base::TimePoint aNow, lw::fleet::LoadReport& aReport)
{
  for (const auto& item : aOutliers.mByTag) {
    const Directory::RouteTag tag = item.first;
    const RequestCounts counts = RoundedCounts(item.second.mOwn, aNow);
    if (counts.mUnanswered < 1) {
      continue;
    }
    auto& loads = *aReport.mutable_loads();
    const auto known = std::find_if(
      loads.begin(), loads.end(), [&](const auto& aLoad) { return aLoad.tag() == tag.mValue; });
    lw::fleet::UpstreamLoad* reported = known == loads.end() ? loads.Add() : &*known;
    reported->set_tag(tag.mValue);
    reported->set_answered_requests(static_cast<uint32_t>(counts.mAnswered));
    reported->set_unanswered_requests(static_cast<uint32_t>(counts.mUnanswered));
  }
}

uint64_t
ApplyLoadReport(PeerReports& aReports,
                LoadTable& aTable,
                const lw::fleet::LoadReport& aReport,
                Base::TimePoint aNow)
{
  const auto [known, added] = aReports.mByInstance.try_emplace(aReport.instance());
  PeerReports::Entry& entry = known->second;
  const uint64_t previous = entry.mReport.sequence();
  const bool sameIncarnation = !added && entry.mReport.incarnation() == aReport.incarnation();
  if (sameIncarnation && previous >= aReport.sequence()) {
    return 0;
  }
  if (!added) {
    UpdatePeerLoads(aTable, entry.mReport, LoadUpdate::Remove);
  }
  entry = { aReport, aNow };
  entry.mReport.clear_pins();
  UpdatePeerLoads(aTable, aReport, LoadUpdate::Add);
  return sameIncarnation ? aReport.sequence() - previous - 1 : kAllReports;
}

std::vector<uint32_t>
ExpireReports(PeerReports& aReports, LoadTable& aTable, Base::TimePoint aNow)
{
  std::vector<uint32_t> expired;
  for (auto item = aReports.mByInstance.begin(); item != aReports.mByInstance.end();) {
    if (aNow - item->second.mReceivedAt < LifetimeOf(item->second.mReport)) {
      ++item;
      continue;
    }
    UpdatePeerLoads(aTable, item->second.mReport, LoadUpdate::Remove);
    expired.push_back(item->first);
    item = aReports.mByInstance.erase(item);
  }
  return expired;
}

} // namespace Steering

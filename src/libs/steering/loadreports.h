#pragma once

#include "steering/loadtable.h"
#include "steering/outliers.h"

#include "fleet.pb.h"

#include <cstdint>
#include <map>
#include <vector>

namespace Steering {

/// Latest load report of each peer, that is, of each entry instance in the same availability zone.
/// Owned by one entry instance. A report expires after kReportLifetime, or later if the peer
/// reports at long intervals.
struct PeerReports
{
  struct Entry
  {
    lw::fleet::LoadReport mReport;
    Base::TimePoint mReceivedAt;
  };
  std::map<uint32_t, Entry> mByInstance;
};

constexpr uint64_t kAllReports = UINT64_MAX;

/// \return the interval between two reports of an instance. It grows with the number of peers, so
/// that the cost of sending and receiving reports does not depend on the size of the zone.
Base::Duration
ReportInterval(size_t aPeers);

/// \return the time after which the report of an instance expires, if it reports to aPeers peers.
Base::Duration
ReportLifetime(size_t aPeers);

/// A peer whose report has not expired.
struct LivePeer
{
  uint32_t mInstance = 0;
  /// Instances whose reports the peer does not receive.
  std::vector<uint32_t> mNotReceivedFrom;
};

/// \return the peers whose report has not expired. Does not depend on ExpireReports, so that a peer
/// does not count as live after this instance was frozen.
std::vector<LivePeer>
LivePeers(const PeerReports& aReports, Base::TimePoint aNow);

/// \return a report of this instance's own flows and suspended upstreams for its peers.
lw::fleet::LoadReport
MakeReport(const LoadTable& aTable, Base::TimePoint aNow);

/// Adds the counts of this instance's requests to the report, for the upstreams with unanswered
/// requests only, so that reports grow only while there is a fault.
void
AddRequestCounts(const Outliers& aOutliers, Base::TimePoint aNow, lw::fleet::LoadReport& aReport);

/// Replaces the peer's previous report and updates the peer loads in aTable. Ignores the report if
/// it is not newer than the previous one of the same incarnation.
/// \return the number of the peer's reports that were missed just before this one, kAllReports if
/// there was no previous one of the same incarnation, or 0 if the report is ignored.
uint64_t
ApplyLoadReport(PeerReports& aReports,
                LoadTable& aTable,
                const lw::fleet::LoadReport& aReport,
                Base::TimePoint aNow);

/// Removes expired reports and subtracts their loads from aTable.
/// \return the instances whose reports expired.
std::vector<uint32_t>
ExpireReports(PeerReports& aReports, LoadTable& aTable, Base::TimePoint aNow);

} // namespace Steering

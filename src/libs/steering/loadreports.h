#pragma once

#include "steering/loadtable.h"

#include "fleet.pb.h"

#include <map>

namespace Steering {

/// Newest load report of each peer. Owned by one entry instance, one for each entry instance of its
/// availability zone; a report counts for kReportLifetime.
struct PeerReports
{
  struct Entry
  {
    lw::fleet::LoadReport mReport;
    Base::TimePoint mReceivedAt;
  };
  std::map<uint32_t, Entry> mByInstance;
};

/// \return the time between two reports of an instance. It grows with the peers, so that sending
/// and receiving take the same time in an availability zone of any size.
Base::Duration
ReportInterval(size_t aPeers);

/// \return the loads that this instance tells its peers.
lw::fleet::LoadReport
MakeReport(const LoadTable& aTable, Base::TimePoint aNow);

/// Takes a peer's report unless a newer one of the same run is known, and counts it in aTable.
void
TakeReport(PeerReports& aReports,
           LoadTable& aTable,
           const lw::fleet::LoadReport& aReport,
           Base::TimePoint aNow);

/// Stops counting reports of peers that have fallen silent.
void
ExpireReports(PeerReports& aReports, LoadTable& aTable, Base::TimePoint aNow);

} // namespace Steering

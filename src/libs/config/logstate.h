#pragma once

#include "absl/status/statusor.h"
#include "base/ids.h"
#include "base/runtimeclock.h"

#include "config.pb.h"
#include "feed.pb.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace Config {

/// State machine of the control instances. Equal at all of them after the same log entry. Bounded
/// by the services, the recorded outcomes and 256 revisions; rebuilt from snapshot and log.
struct LogState
{
  lw::config::State mState;
  /// Recent revisions in order, the last one of the present version.
  std::deque<lw::config::Revision> mRevisions;
};

/// Applies the command of a log entry.
/// \return the version, or the errors of ApplyChange.
absl::StatusOr<Base::ConfigVersion>
ApplyCommand(LogState& aState, const std::string& aCommand);

/// \return the state for a snapshot.
std::string
SaveLogState(const LogState& aState);

/// \return the state of a snapshot, or DataLoss.
absl::StatusOr<LogState>
LoadLogState(const std::string& aBytes);

/// \return what a follower of the configuration lacks.
lw::feed::PullReply
RevisionsAfter(const LogState& aState, uint64_t aVersion);

/// Newest report of an entry instance.
struct Report
{
  lw::feed::InstanceReport mReport;
  Base::TimePoint mReceived;
};

/// Reports by instance. Owned by a control instance, one for each entry instance; after a restart
/// it is filled again, and no address is released for a report window.
struct ReportTable
{
  std::map<uint64_t, Report> mReports;
  /// When this control instance began to collect reports.
  Base::TimePoint mSince;
};

/// Replaces the instance's report. Its version can be lower than before, because an instance
/// without a disk starts from nothing after a restart.
void
AddReport(ReportTable& aTable, const lw::feed::InstanceReport& aReport, Base::TimePoint aNow);

/// \return the retired addresses whose removal is in force at every instance that reported within
/// the window; none until reports were collected for a whole window.
lw::config::ReleasedAddresses
ReleasableAddresses(const lw::config::State& aState,
                    const ReportTable& aTable,
                    Base::TimePoint aNow,
                    Base::Duration aWindow);

/// Makes the command for a change.
std::string
MakeCommand(const lw::config::Change& aChange, uint64_t aNowMs);

} // namespace Config

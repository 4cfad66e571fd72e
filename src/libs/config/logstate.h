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

/// State machine of the control instances, identical on all of them after the same log entry. Its
/// size is bounded by the services, the recorded outcomes and 256 revisions. It is rebuilt from the
/// snapshot and the log.
struct LogState
{
  lw::config::State mState;
  /// Recent revisions in order. The last one belongs to the current version.
  std::deque<lw::config::Revision> mRevisions;
};

/// Applies the command of a log entry.
/// \return the version, or the errors of ApplyChange.
absl::StatusOr<Base::ConfigVersion>
ApplyCommand(LogState& aState, const std::string& aCommand);

/// \return the serialized state for a snapshot.
std::string
SaveLogState(const LogState& aState);

/// \return the state from a snapshot, or DataLoss if it cannot be parsed.
absl::StatusOr<LogState>
LoadLogState(const std::string& aBytes);

/// \return the revisions after aVersion, or the whole state if some of them are no longer kept.
lw::feed::PullReply
RevisionsAfter(const LogState& aState, uint64_t aVersion);

/// Latest report of an entry instance.
struct Report
{
  lw::feed::InstanceReport mReport;
  Base::TimePoint mReceived;
};

/// Latest report of each entry instance, collected by a control instance. The table is empty after
/// a restart, so no address is released during the first report window.
struct ReportTable
{
  std::map<uint64_t, Report> mReports;
  /// Time at which this control instance started to collect reports.
  Base::TimePoint mCollectingSince;
};

/// Replaces the report of the instance. The version may be lower than before, because an instance
/// without a disk starts without a configuration after a restart.
void
AddReport(ReportTable& aTable, const lw::feed::InstanceReport& aReport, Base::TimePoint aNow);

/// \return the retired addresses whose removal is in force on every instance that reported within
/// the window. Empty until reports have been collected for a whole window.
lw::config::ReleasedAddresses
ReleasableAddresses(const lw::config::State& aState,
                    const ReportTable& aTable,
                    Base::TimePoint aNow,
                    Base::Duration aWindow);

/// \return the serialized log command for a change.
std::string
MakeCommand(const lw::config::Change& aChange, uint64_t aNowMs);

} // namespace Config

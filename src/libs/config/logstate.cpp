#include "config/logstate.h"

#include "config/statemachine.h"

#include <algorithm>

namespace Config {

namespace {

/// Instances that are further behind receive the whole state.
constexpr size_t kMaxRevisions = 256;

} // namespace

absl::StatusOr<Base::ConfigVersion>
ApplyCommand(LogState& aState, const std::string& aCommand)
{
  lw::config::LogCommand command;
  if (!command.ParseFromString(aCommand)) {
    return absl::InvalidArgumentError("cannot parse the log command");
  }
  const uint64_t before = aState.mState.version();
  const absl::StatusOr<Base::ConfigVersion> version =
    ApplyChange(aState.mState, command.change(), command.proposed_at_ms());
  if (!version.ok() || aState.mState.version() == before) {
    return version;
  }
  if (command.change().has_declare()) {
    // A complete configuration is large. An instance that is behind receives the whole state once
    // instead of every declaration, most of which have been superseded.
    aState.mRevisions.clear();
    return version;
  }
  lw::config::Revision revision;
  revision.set_version(aState.mState.version());
  *revision.mutable_change() = command.change();
  revision.set_accepted_at_ms(command.proposed_at_ms());
  aState.mRevisions.push_back(std::move(revision));
  if (aState.mRevisions.size() > kMaxRevisions) {
    aState.mRevisions.pop_front();
  }
  return version;
}

std::string
SaveLogState(const LogState& aState)
{
  lw::config::LogState saved;
  *saved.mutable_state() = aState.mState;
  for (const lw::config::Revision& revision : aState.mRevisions) {
    *saved.add_revisions() = revision;
  }
  return saved.SerializeAsString();
}

absl::StatusOr<LogState>
LoadLogState(const std::string& aBytes)
{
  lw::config::LogState saved;
  if (!saved.ParseFromString(aBytes)) {
    return absl::DataLossError("cannot parse the configuration in the snapshot");
  }
  LogState state;
  state.mState = saved.state();
  state.mRevisions.assign(saved.revisions().begin(), saved.revisions().end());
  return state;
}

lw::feed::PullReply
RevisionsAfter(const LogState& aState, uint64_t aVersion)
{
  lw::feed::PullReply reply;
  if (aVersion >= aState.mState.version()) {
    return reply;
  }
  if (aState.mRevisions.empty() || aState.mRevisions.front().version() > aVersion + 1) {
    *reply.mutable_snapshot() = aState.mState;
    return reply;
  }
  for (const lw::config::Revision& revision : aState.mRevisions) {
    if (revision.version() > aVersion) {
      *reply.add_revisions() = revision;
    }
  }
  return reply;
}

void
AddReport(ReportTable& aTable, const lw::feed::InstanceReport& aReport, Base::TimePoint aNow)
{
  aTable.mReports[aReport.instance()] = { aReport, aNow };
}

lw::config::ReleasedAddresses
ReleasableAddresses(const lw::config::State& aState,
                    const ReportTable& aTable,
                    Base::TimePoint aNow,
                    Base::Duration aWindow)
{
  lw::config::ReleasedAddresses released;
  if (aNow - aTable.mCollectingSince < aWindow) {
    return released;
  }
  for (const lw::config::RetiredAddress& retired : aState.retired_addresses()) {
    const auto& reports = aTable.mReports;
    const bool everywhere = std::all_of(reports.begin(), reports.end(), [&](const auto& aItem) {
      const Report& report = aItem.second;
      return aNow - report.mReceived >= aWindow ||
             report.mReport.version_in_force() >= retired.removed_in_version();
    });
    if (everywhere) {
      *released.add_addresses() = retired;
    }
  }
  return released;
}

std::string
MakeCommand(const lw::config::Change& aChange, uint64_t aNowMs)
{
  lw::config::LogCommand command;
  *command.mutable_change() = aChange;
  command.set_proposed_at_ms(aNowMs);
  return command.SerializeAsString();
}

} // namespace Config

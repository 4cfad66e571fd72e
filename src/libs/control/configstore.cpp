#include "control/configstore.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace Control {

namespace {

/// Maximum interval at which an unchanged report is sent to the other control instances. It must be
/// well below 10 s, because lwctl does not wait for an instance whose report is older than that.
constexpr Base::Duration kMaxShareInterval = std::chrono::seconds(5);
/// Reports are sent several times per report window. Otherwise the leader would consider the
/// instance gone and release addresses too early.
constexpr int kSharesPerWindow = 4;

} // namespace

ConfigStore::ConfigStore(Base::Duration aReportWindow)
  : mReportWindow(aReportWindow)
  , mShareInterval(std::min(kMaxShareInterval, aReportWindow / kSharesPerWindow))
{
  mReports.mCollectingSince = Base::RuntimeClock::now();
}

absl::StatusOr<Base::ConfigVersion>
ConfigStore::ApplyCommand(const std::string& aCommand)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return Config::ApplyCommand(mState, aCommand);
}

absl::Status
ConfigStore::Load(const std::string& aState)
{
  absl::StatusOr<Config::LogState> state = Config::LoadLogState(aState);
  if (!state.ok()) {
    return state.status();
  }
  const std::lock_guard<std::mutex> lock(mMutex);
  mState = *std::move(state);
  return absl::OkStatus();
}

std::string
ConfigStore::Save() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return Config::SaveLogState(mState);
}

uint64_t
ConfigStore::Version() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mState.mState.version();
}

lw::config::State
ConfigStore::State() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mState.mState;
}

bool
ConfigStore::HasDeparture(const lw::config::Departure& aDeparture) const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto& departures = mState.mState.departures();
  return std::any_of(departures.begin(), departures.end(), [&](const auto& aKnown) {
    return aKnown.upstream() == aDeparture.upstream() &&
           aKnown.started_at_ms() == aDeparture.started_at_ms();
  });
}

lw::operator_api::HistoryReply
ConfigStore::History(uint64_t aAfterVersion) const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  lw::operator_api::HistoryReply reply;
  for (const lw::config::Revision& revision : mState.mRevisions) {
    if (revision.version() > aAfterVersion) {
      *reply.add_revisions() = revision;
    }
  }
  return reply;
}

lw::feed::PullReply
ConfigStore::Pull(const lw::feed::PullRequest& aRequest)
{
  const Base::TimePoint now = Base::RuntimeClock::now();
  const std::lock_guard<std::mutex> lock(mMutex);
  for (const lw::feed::InstanceReport& report : aRequest.reports()) {
    Config::AddReport(mReports, report, now);
    const auto shared = mShared.find(report.instance());
    const bool isUpToDate = shared != mShared.end() &&
                            shared->second.mVersion == report.version_in_force() &&
                            now - shared->second.mSent < mShareInterval;
    if (!isUpToDate) {
      mToShare.insert(report.instance());
    }
  }
  return Config::RevisionsAfter(mState, aRequest.after_version());
}

void
ConfigStore::AddReports(const lw::consensus::Reports& aReports)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  for (const lw::feed::InstanceReport& report : aReports.reports()) {
    Config::AddReport(mReports, report, Base::RuntimeClock::now());
  }
}

lw::consensus::Reports
ConfigStore::TakeReportsToShare()
{
  const Base::TimePoint now = Base::RuntimeClock::now();
  const std::lock_guard<std::mutex> lock(mMutex);
  lw::consensus::Reports reports;
  for (const uint64_t instance : mToShare) {
    const lw::feed::InstanceReport& report = mReports.mReports[instance].mReport;
    *reports.add_reports() = report;
    mShared[instance] = { report.version_in_force(), now };
  }
  mToShare.clear();
  return reports;
}

lw::config::ReleasedAddresses
ConfigStore::ReleasableAddresses() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return Config::ReleasableAddresses(
    mState.mState, mReports, Base::RuntimeClock::now(), mReportWindow);
}

void
ConfigStore::FillStatus(lw::operator_api::StatusReply& aReply) const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const Base::TimePoint now = Base::RuntimeClock::now();
  aReply.set_version(mState.mState.version());
  for (const auto& [id, report] : mReports.mReports) {
    lw::operator_api::InstanceStatus* status = aReply.add_instances();
    status->set_instance(id);
    status->set_availability_zone(report.mReport.availability_zone());
    status->set_version_in_force(report.mReport.version_in_force());
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - report.mReceived);
    status->set_report_age_ms(static_cast<uint64_t>(age.count()));
  }
}

} // namespace Control

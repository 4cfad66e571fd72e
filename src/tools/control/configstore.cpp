#include "configstore.h"

#include "config/statemachine.h"

namespace Control {

namespace {

/// Followers that are further behind get the whole state.
constexpr size_t kMaxRevisions = 256;

} // namespace

absl::StatusOr<Base::ConfigVersion>
ConfigStore::Apply(const lw::config::Change& aChange)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const uint64_t before = mState.version();
  const absl::StatusOr<Base::ConfigVersion> version = Config::ApplyChange(mState, aChange);
  if (!version.ok() || mState.version() == before) {
    return version;
  }
  lw::config::Revision revision;
  revision.set_version(mState.version());
  *revision.mutable_change() = aChange;
  mRevisions.push_back(revision);
  if (mRevisions.size() > kMaxRevisions) {
    mRevisions.pop_front();
  }
  return version;
}

lw::config::State
ConfigStore::State() const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  return mState;
}

std::deque<lw::config::Revision>
ConfigStore::History(uint64_t aAfterVersion) const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  std::deque<lw::config::Revision> newer;
  for (const lw::config::Revision& revision : mRevisions) {
    if (revision.version() > aAfterVersion) {
      newer.push_back(revision);
    }
  }
  return newer;
}

lw::feed::PullReply
ConfigStore::Pull(const lw::feed::PullRequest& aRequest)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  for (const lw::feed::InstanceReport& report : aRequest.reports()) {
    mReports[report.instance()] = { report, Base::RuntimeClock::now() };
  }
  lw::feed::PullReply reply;
  const uint64_t after = aRequest.after_version();
  if (after >= mState.version()) {
    return reply;
  }
  if (mRevisions.empty() || mRevisions.front().version() > after + 1) {
    *reply.mutable_snapshot() = mState;
    return reply;
  }
  for (const lw::config::Revision& revision : mRevisions) {
    if (revision.version() > after) {
      *reply.add_revisions() = revision;
    }
  }
  return reply;
}

void
ConfigStore::FillStatus(lw::operator_api::StatusReply& aReply) const
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const Base::TimePoint now = Base::RuntimeClock::now();
  aReply.set_version(mState.version());
  for (const auto& [id, report] : mReports) {
    lw::operator_api::InstanceStatus* status = aReply.add_instances();
    status->set_instance(id);
    status->set_availability_zone(report.mReport.availability_zone());
    status->set_version_in_force(report.mReport.version_in_force());
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - report.mReceived);
    status->set_report_age_ms(static_cast<uint64_t>(age.count()));
  }
}

} // namespace Control

#pragma once

#include "absl/status/statusor.h"
#include "base/ids.h"
#include "base/runtimeclock.h"
#include "config/logstate.h"

#include "config.pb.h"
#include "consensus.pb.h"
#include "feed.pb.h"
#include "operator.pb.h"

#include <deque>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace Control {

/// The applied configuration and the reports of entry instances. Thread-safe: the log thread writes
/// the configuration, the feed and the operator interface read it.
class ConfigStore
{
public:
  /// \param aReportWindow is the time after which a report no longer delays the release of
  /// addresses.
  explicit ConfigStore(Base::Duration aReportWindow);

  /// Applies a committed command.
  absl::StatusOr<Base::ConfigVersion> ApplyCommand(const std::string& aCommand);
  absl::Status Load(const std::string& aState);
  std::string Save() const;

  uint64_t Version() const;
  lw::config::State State() const;
  /// \return true if this departure was applied.
  bool HasDeparture(const lw::config::Departure& aDeparture) const;
  /// \return the kept revisions after aAfterVersion, in order.
  lw::operator_api::HistoryReply History(uint64_t aAfterVersion) const;

  /// Stores the reports in a pull request.
  /// \return the revisions or the state that the requester needs.
  lw::feed::PullReply Pull(const lw::feed::PullRequest& aRequest);
  /// Stores reports that another control instance received.
  void AddReports(const lw::consensus::Reports& aReports);
  /// \return reports from pull requests that were not yet sent to the other control instances.
  lw::consensus::Reports TakeReportsToShare();
  /// \return the retired addresses that may be reused.
  lw::config::ReleasedAddresses ReleasableAddresses() const;

  void FillStatus(lw::operator_api::StatusReply& aReply) const;

private:
  struct Shared
  {
    uint64_t mVersion = 0;
    Base::TimePoint mSent;
  };

  const Base::Duration mReportWindow;
  const Base::Duration mShareInterval;
  mutable std::mutex mMutex;
  Config::LogState mState;
  Config::ReportTable mReports;
  /// Last report of each instance that was sent to the other control instances.
  std::map<uint64_t, Shared> mShared;
  std::set<uint64_t> mToShare;
};

} // namespace Control

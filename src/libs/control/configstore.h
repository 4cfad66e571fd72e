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

/// The applied configuration and the reports of entry instances. The log thread writes the
/// configuration; the feed and operators read it.
class ConfigStore
{
public:
  /// \param aReportWindow is how long a report holds up the release of addresses.
  explicit ConfigStore(Base::Duration aReportWindow);

  /// Applies a committed command.
  absl::StatusOr<Base::ConfigVersion> ApplyCommand(const std::string& aCommand);
  absl::Status Load(const std::string& aState);
  std::string Save() const;

  uint64_t Version() const;
  lw::config::State State() const;
  /// \return true if the log holds this departure.
  bool HasDeparture(const lw::config::Departure& aDeparture) const;
  /// Revisions after a version that are still kept, in order.
  lw::operator_api::HistoryReply History(uint64_t aAfterVersion) const;

  /// Takes the reports of a pull and returns what the puller lacks.
  lw::feed::PullReply Pull(const lw::feed::PullRequest& aRequest);
  /// Takes reports that another control instance received.
  void AddReports(const lw::consensus::Reports& aReports);
  /// \return reports of pulls that the other control instances do not have yet.
  lw::consensus::Reports TakeReportsToShare();
  /// \return retired addresses that may be used again.
  lw::config::ReleasedAddresses Releasable() const;

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
  /// Last report of each pulling instance that was passed on.
  std::map<uint64_t, Shared> mShared;
  std::set<uint64_t> mToShare;
};

} // namespace Control

#pragma once

#include "absl/status/statusor.h"
#include "base/ids.h"
#include "base/runtimeclock.h"

#include "config.pb.h"
#include "feed.pb.h"
#include "operator.pb.h"

#include <deque>
#include <map>
#include <mutex>

namespace Control {

/// The configuration in memory, with its recent revisions and the reports of the instances that
/// follow it.
class ConfigStore
{
public:
  /// Applies an operator's change.
  /// \return the version, or the errors of Config::ApplyChange.
  absl::StatusOr<Base::ConfigVersion> Apply(const lw::config::Change& aChange);

  lw::config::State State() const;

  /// Revisions after a version that are still kept, in order.
  std::deque<lw::config::Revision> History(uint64_t aAfterVersion) const;

  /// Takes the reports of a pull and returns what the puller lacks.
  lw::feed::PullReply Pull(const lw::feed::PullRequest& aRequest);

  void FillStatus(lw::operator_api::StatusReply& aReply) const;

private:
  struct Report
  {
    lw::feed::InstanceReport mReport;
    Base::TimePoint mReceived;
  };

  mutable std::mutex mMutex;
  lw::config::State mState;
  std::deque<lw::config::Revision> mRevisions;
  std::map<uint64_t, Report> mReports;
};

} // namespace Control

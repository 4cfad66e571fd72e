#pragma once

#include "base/snapshot.h"
#include "config/serviceindex.h"
#include "entrysettings.h"
#include "metrics/registry.h"

#include "feed.pb.h"

#include <atomic>
#include <thread>

namespace Entry {

/// Pulls the configuration from the control instances, applies it in order and publishes it.
class ConfigFollower
{
public:
  ConfigFollower(const EntrySettings& aSettings, Metrics::Registry& aMetrics);
  ~ConfigFollower();

  void Start();
  void Stop();

  const Base::Snapshot<Config::ServiceIndex>& Services() const { return mServices; }

private:
  void Run();
  bool PullFrom(void* aContext, const Base::Endpoint& aFeed);
  void Apply(const lw::feed::PullReply& aReply);

  const EntrySettings& mSettings;
  Metrics::Gauge& mVersionGauge;
  lw::config::State mState;
  Base::Snapshot<Config::ServiceIndex> mServices;
  std::atomic<bool> mStopping{ false };
  std::thread mThread;
};

} // namespace Entry

#pragma once

#include "base/random.h"
#include "base/snapshot.h"
#include "config/serviceindex.h"
#include "distribution/follower.h"
#include "entrysettings.h"
#include "membership/view.h"
#include "metrics/registry.h"
#include "peertransport.h"
#include "steering/evacuations.h"

#include <condition_variable>
#include <mutex>
#include <thread>

namespace Entry {

/// Keeps the configuration up to date: pulls it from control instances or peers, publishes it and
/// writes it to disk.
class ConfigFollower
{
public:
  ConfigFollower(const EntrySettings& aSettings,
                 uint64_t aSeed,
                 PeerTransport& aTransport,
                 const Base::Snapshot<Membership::View>& aView,
                 Base::Snapshot<Config::ServiceIndex>& aServices,
                 Base::Snapshot<Steering::Evacuations>& aEvacuations,
                 Metrics::Registry& aMetrics);
  ~ConfigFollower();

  /// Loads the configuration from disk, if available, and starts the pull thread.
  void Start();
  void Stop();

  /// Call this every 50 ms.
  void Tick();

private:
  void LoadFromDisk();
  void HandlePeer(const PeerSender& aSender, absl::string_view aPayload);
  void ApplyEffects(const Distribution::Effects& aEffects);
  void Publish();
  void PublishEvacuations();
  void RunControlPulls();
  bool PullFrom(void* aContext, const Base::Endpoint& aFeed);

  const EntrySettings& mSettings;
  PeerTransport& mTransport;
  const Base::Snapshot<Membership::View>& mView;
  Base::Snapshot<Config::ServiceIndex>& mServices;
  Base::Snapshot<Steering::Evacuations>& mEvacuations;
  Metrics::Gauge& mVersionGauge;
  Metrics::Gauge& mEvacuatedGauge;
  Metrics::Counter& mRefused;
  Distribution::FollowerSettings mFollowerSettings;

  std::mutex mMutex;
  std::condition_variable mWakeUp;
  Base::RandomSource mRandom;
  Distribution::Follower mFollower;
  bool mIsPullRequested = false;
  bool mStopping = false;
  std::thread mThread;
};

} // namespace Entry

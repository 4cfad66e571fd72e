#pragma once

#include "base/ids.h"
#include "base/random.h"
#include "base/snapshot.h"
#include "config/serviceindex.h"
#include "entrysettings.h"
#include "membership/view.h"
#include "metrics/registry.h"
#include "packetports.h"
#include "peertransport.h"
#include "requests/dispatcher.h"

#include <array>
#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Entry {

/// Packets of request services. The upstreams are distributed over shards, each with its own lock;
/// all flows of an upstream are in one shard, so that one scheduler knows all its work.
class RequestPath
{
public:
  RequestPath(const EntrySettings& aSettings,
              Base::Incarnation aIncarnation,
              const PacketPorts& aPorts,
              const Base::Snapshot<Membership::View>& aView,
              const Base::Snapshot<Config::ServiceIndex>& aServices,
              Metrics::Registry& aMetrics);

  /// Takes a packet from the fabric. Called by all worker threads.
  void HandleCallerPacket(const Config::ServiceView& aService,
                          const Wire::ProxyAddresses& aAddresses,
                          absl::string_view aPayload);

  /// Takes a packet from an upstream of the service. Called by all worker threads.
  void HandleUpstreamPacket(const Config::ServiceView& aService,
                            const Base::Endpoint& aUpstream,
                            absl::string_view aPayload);

  /// Takes a message on channel REQUESTS.
  void HandlePeerPayload(const PeerSender& aSender, absl::string_view aPayload);

  /// Called every 50 ms.
  void Tick();

  /// Starts the graceful leave: flows go to a successor as soon as their running work has ended.
  void BeginShutdown();

  /// \return true if nothing is left to finish or to hand over.
  bool IsDrained() const;

private:
  struct Shard
  {
    Shard(const Base::Snapshot<Membership::View>& aView,
          const Base::Snapshot<Config::ServiceIndex>& aServices);

    mutable std::mutex mMutex;
    /// Used under the lock; they take no other lock for views that have not changed.
    Base::SnapshotReader<Membership::View> mView;
    Base::SnapshotReader<Config::ServiceIndex> mServices;
    Requests::State mState;
    Base::RandomSource mRandom;
    /// What this shard uses of the bounds of the instance, read by the other shards.
    std::atomic<size_t> mFlows{ 0 };
    std::atomic<size_t> mAnswerBytes{ 0 };
  };

  /// Counters of one service for the burn report.
  struct ServiceCounters
  {
    Metrics::Counter* mReplies = nullptr;
    Metrics::Counter* mNotRun = nullptr;
    Metrics::Counter* mLost = nullptr;
  };
  using CountersByAddress = std::unordered_map<Base::Endpoint, ServiceCounters>;

  void UpdateServiceCounters();
  void CountReplies(const std::vector<Requests::ToCaller>& aReplies);
  size_t ShardOf(const Base::Endpoint& aUpstream) const;
  std::optional<Base::Endpoint> SelectUpstream(const Membership::View& aView,
                                               const Config::ServiceView& aService,
                                               const Base::Endpoint& aCaller) const;
  Requests::Limits LimitsFor(size_t aShard) const;
  template<typename Decision>
  void Decide(size_t aShard, const Decision& aDecision);
  void Count(Requests::Event aEvent);
  void CarryOut(const Membership::View& aView, const Requests::Effects& aEffects);

  Requests::Settings mSettings;
  const PacketPorts& mPorts;
  const Base::Snapshot<Membership::View>& mView;
  /// By Requests::Event; the first one, Event::None, has no counter.
  std::vector<Metrics::Counter*> mCounters;
  const Base::Snapshot<Config::ServiceIndex>& mServices;
  Metrics::Registry& mMetrics;
  Base::Snapshot<CountersByAddress> mServiceCounters;
  Base::ConfigVersion mCountedVersion;
  Metrics::Counter& mPeerGone;
  Metrics::Gauge& mOpenFlows;
  std::vector<std::unique_ptr<Shard>> mShards;
};

} // namespace Entry

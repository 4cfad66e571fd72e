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

/// Processes the packets of request services. The upstreams are distributed over shards with a lock
/// each. All flows of an upstream are in the same shard, so that one scheduler manages all its
/// work.
class RequestPath
{
public:
  RequestPath(const EntrySettings& aSettings,
              Base::Incarnation aIncarnation,
              const PacketPorts& aPorts,
              const Base::Snapshot<Membership::View>& aView,
              const Base::Snapshot<Config::ServiceIndex>& aServices,
              Metrics::Registry& aMetrics);

  /// Processes a packet from the fabric. Thread-safe.
  void HandleCallerPacket(const Config::ServiceView& aService,
                          const Wire::ProxyAddresses& aAddresses,
                          absl::string_view aPayload);

  /// Processes a packet from an upstream of the service. Thread-safe.
  void HandleUpstreamPacket(const Config::ServiceView& aService,
                            const Base::Endpoint& aUpstream,
                            absl::string_view aPayload);

  /// Processes a peer message on channel REQUESTS.
  void HandlePeerPayload(const PeerSender& aSender, absl::string_view aPayload);

  /// Call this every 50 ms.
  void Tick();

  /// Starts a graceful leave: each flow is handed over to a successor once its running work has
  /// ended.
  void BeginShutdown();

  /// \return true if all work is completed and all flows are handed over.
  bool IsDrained() const;

private:
  struct Shard
  {
    Shard(const Base::Snapshot<Membership::View>& aView,
          const Base::Snapshot<Config::ServiceIndex>& aServices);

    mutable std::mutex mMutex;
    /// Protected by mMutex. Loading an unchanged snapshot requires no other lock.
    Base::SnapshotReader<Membership::View> mView;
    Base::SnapshotReader<Config::ServiceIndex> mServices;
    Requests::State mState;
    Base::RandomSource mRandom;
    /// Usage of the limits of the instance by this shard, read by the other shards.
    std::atomic<size_t> mFlows{ 0 };
    std::atomic<size_t> mAnswerBytes{ 0 };
  };

  /// Counters of one service, from which the burn of its error budget is computed.
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
  template<typename Function>
  void RunOnShard(size_t aShard, const Function& aFunction);
  void Count(Requests::Event aEvent);
  void ExecuteEffects(const Membership::View& aView, const Requests::Effects& aEffects);

  Requests::Settings mSettings;
  const PacketPorts& mPorts;
  const Base::Snapshot<Membership::View>& mView;
  /// Indexed by Requests::Event. The entry of Event::None is nullptr.
  std::vector<Metrics::Counter*> mCounters;
  const Base::Snapshot<Config::ServiceIndex>& mServices;
  Metrics::Registry& mMetrics;
  Base::Snapshot<CountersByAddress> mServiceCounters;
  Base::ConfigVersion mCountedVersion;
  Metrics::Counter& mUnknownPeer;
  Metrics::Gauge& mOpenFlows;
  std::vector<std::unique_ptr<Shard>> mShards;
};

} // namespace Entry

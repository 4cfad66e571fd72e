#pragma once

#include "base/snapshot.h"
#include "config/serviceindex.h"
#include "flowshards.h"
#include "membership/view.h"
#include "metrics/registry.h"
#include "packetports.h"
#include "peertransport.h"
#include "placement/control.h"

#include <map>
#include <memory>
#include <mutex>

namespace Entry {

/// Processes the packets of opaque services. Keeps the slot tables and applies them to the flow
/// shards. The mutex of the tables is always locked before that of a shard.
class OpaquePath
{
public:
  OpaquePath(const PacketPorts& aPorts,
             const Base::Snapshot<Membership::View>& aView,
             const Base::Snapshot<Config::ServiceIndex>& aServices,
             Metrics::Registry& aMetrics);

  /// Processes a packet from the fabric. Thread-safe.
  void HandleCallerPacket(const Config::ServiceView& aService,
                          const Wire::ProxyAddresses& aAddresses,
                          absl::string_view aPayload);

  /// Processes a peer message on channel PLACEMENT.
  void HandlePeerPayload(const PeerSender& aSender, absl::string_view aPayload);

  /// Call this every 50 ms.
  void Tick();

  /// \return true if no other instance still needs the flow records of this instance.
  bool IsHandedOver() { return mShards.IsHandedOver(*mView.Load()); }

private:
  struct Service
  {
    Placement::ServiceControl mControl;
    Base::Endpoint mAddress;
    std::shared_ptr<const Placement::SlotTable> mPublished;
  };

  void HandleControl(const PeerSender& aSender, const lw::placement::PlacementMessage& aMessage);
  void HandleForwarded(const lw::placement::PlacementMessage& aMessage);
  void HandleAnswer(const lw::placement::PlacementMessage& aMessage);
  /// \return false if the service does not exist on this instance.
  bool FindService(Base::ServiceGeneration aGeneration,
                   Base::Endpoint& aAddress,
                   bool& aHasOpeningMark);
  void Apply(Service& aService,
             const Placement::TableEffects& aEffects,
             const std::shared_ptr<const Membership::View>& aView);
  void UpdateServices();

  const Base::Snapshot<Membership::View>& mView;
  const Base::Snapshot<Config::ServiceIndex>& mServiceIndex;
  FlowShards mShards;
  Metrics::Counter& mMalformed;
  Metrics::Counter& mUnknownService;
  std::mutex mMutex;
  std::map<Base::ServiceGeneration, Service> mServices;
  uint64_t mServicesRevision = 0;
};

} // namespace Entry

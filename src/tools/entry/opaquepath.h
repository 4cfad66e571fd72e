#pragma once

#include "base/snapshot.h"
#include "config/serviceindex.h"
#include "membership/view.h"
#include "metrics/registry.h"
#include "packetports.h"
#include "peertransport.h"

namespace Entry {

/// Packets of opaque services.
class OpaquePath
{
public:
  OpaquePath(const PacketPorts& aPorts,
             const Base::Snapshot<Membership::View>& aView,
             const Base::Snapshot<Config::ServiceIndex>& aServices,
             Metrics::Registry& aMetrics);

  /// Takes a packet from the fabric. Called by all worker threads.
  void HandleCallerPacket(const Config::ServiceView& aService,
                          const Wire::ProxyAddresses& aAddresses,
                          absl::string_view aPayload);

  /// Takes a message on channel PLACEMENT.
  void HandlePeerPayload(const PeerSender& aSender, absl::string_view aPayload);

  /// Called every 50 ms.
  void Tick();

private:
  const PacketPorts& mPorts;
  const Base::Snapshot<Membership::View>& mView;
  Metrics::Counter& mForwarded;
  Metrics::Counter& mNoUpstream;
};

} // namespace Entry

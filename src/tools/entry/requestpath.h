#pragma once

#include "admission/scheduler.h"
#include "base/ids.h"
#include "base/snapshot.h"
#include "config/serviceindex.h"
#include "entrysettings.h"
#include "membership/view.h"
#include "metrics/registry.h"
#include "packetports.h"
#include "peertransport.h"

#include "caller.pb.h"
#include "upstream.pb.h"

#include <map>
#include <mutex>
#include <string>

namespace Entry {

/// Packets of request services.
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

  /// Takes a packet from an upstream of the service.
  void HandleUpstreamPacket(const Config::ServiceView& aService,
                            const Base::Endpoint& aUpstream,
                            absl::string_view aPayload);

  /// Takes a message on channel REQUESTS.
  void HandlePeerPayload(const PeerSender& aSender, absl::string_view aPayload);

  /// Called every 50 ms.
  void Tick();

  /// Takes no new flows from now on.
  void BeginShutdown();

  /// \return true if no request is queued or runs.
  bool IsDrained() const;

private:
  struct Flow
  {
    Base::Endpoint mUpstream;
    Wire::ProxyAddresses mAddresses;
    std::string mService;
    Base::RequestNumber mHighest;
  };
  struct Running
  {
    uint64_t mFlow = 0;
    lw::caller::Request mRequest;
    Base::TimePoint mDeadline;
  };

  void Open(const Config::ServiceView& aService,
            const Wire::ProxyAddresses& aAddresses,
            const lw::caller::OpenFlow& aOpen);
  void Offer(const Wire::ProxyAddresses& aAddresses,
             const lw::caller::Request& aRequest,
             absl::string_view aPayload);
  void Carry(const Base::Endpoint& aUpstream, const Admission::Effects& aEffects);
  void Refuse(const Wire::ProxyAddresses& aAddresses,
              uint64_t aFlow,
              uint64_t aNumber,
              lw::caller::Outcome aOutcome,
              const std::string& aReason);
  void SendToCaller(const Wire::ProxyAddresses& aAddresses, const lw::caller::EntryPacket& aPacket);
  std::string MakeTicket(uint64_t aFlow) const;

  const EntrySettings& mSettings;
  Base::Incarnation mIncarnation;
  const PacketPorts& mPorts;
  const Base::Snapshot<Membership::View>& mView;
  const Base::Snapshot<Config::ServiceIndex>& mServices;
  Metrics::Counter& mMalformed;
  Metrics::Counter& mDispatched;
  mutable std::mutex mMutex;
  bool mShuttingDown = false;
  uint64_t mNextNumber = 1;
  std::map<uint64_t, Flow> mFlows;
  std::map<uint64_t, Running> mRunning;
  std::map<Base::Endpoint, Admission::Scheduler> mSchedulers;
};

} // namespace Entry

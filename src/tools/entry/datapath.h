#pragma once

#include "base/snapshot.h"
#include "config/serviceindex.h"
#include "entrysettings.h"
#include "membership/view.h"
#include "metrics/registry.h"
#include "opaquepath.h"
#include "packetports.h"
#include "requestpath.h"

#include <memory>
#include <vector>

namespace Entry {

/// Worker threads that receive the datagrams of the fabric and of the upstreams.
class Datapath
{
public:
  Datapath(const EntrySettings& aSettings,
           const Base::Snapshot<Config::ServiceIndex>& aServices,
           const Base::Snapshot<Membership::View>& aView,
           Metrics::Registry& aMetrics);
  ~Datapath();

  /// Starts the worker threads.
  void Start(OpaquePath& aOpaque, RequestPath& aRequests);
  void Stop();

  /// Sends to an upstream from the socket of a worker, which receives the reply.
  void SendToUpstream(const Base::Endpoint& aUpstream,
                      const Wire::ProxyAddresses& aAddresses,
                      absl::string_view aPayload);

  /// Sends to a caller through the fabric.
  void SendToCaller(const Wire::ProxyAddresses& aAddresses, absl::string_view aPayload);

private:
  class Worker;

  const EntrySettings& mSettings;
  Metrics::Counter& mSendFailed;
  std::vector<std::unique_ptr<Worker>> mWorkers;
};

} // namespace Entry

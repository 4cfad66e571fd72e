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

/// Worker threads that receive the fabric's and the upstreams' datagrams.
class Datapath
{
public:
  Datapath(const EntrySettings& aSettings,
           const Base::Snapshot<Config::ServiceIndex>& aServices,
           const Base::Snapshot<Membership::View>& aView,
           Metrics::Registry& aMetrics);
  ~Datapath();

  /// Starts the workers.
  void Start(OpaquePath& aOpaque, RequestPath& aRequests);
  void Stop();

  /// Sends to an upstream so that its reply comes back to a worker.
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

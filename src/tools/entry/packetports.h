#pragma once

#include "absl/strings/string_view.h"
#include "base/endpoint.h"
#include "wire/proxyheader.h"

#include "peer.pb.h"

#include <functional>

namespace Entry {

/// Where the packet paths send. All callables may be called from any thread and do not block.
struct PacketPorts
{
  /// Sends a payload to an upstream, behind a PROXY header with these addresses (source is the
  /// caller).
  std::function<void(const Base::Endpoint& aUpstream,
                     const Wire::ProxyAddresses& aAddresses,
                     absl::string_view aPayload)>
    mToUpstream;
  /// Sends a payload to a caller through the fabric (source is the service).
  std::function<void(const Wire::ProxyAddresses& aAddresses, absl::string_view aPayload)> mToCaller;
  /// Sends a payload to another entry instance.
  std::function<
    void(const Base::Endpoint& aPeer, lw::peer::Channel aChannel, absl::string_view aPayload)>
    mToPeer;
};

} // namespace Entry

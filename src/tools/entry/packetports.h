#pragma once

#include "absl/strings/string_view.h"
#include "base/endpoint.h"
#include "wire/proxyheader.h"

#include "peer.pb.h"

#include <functional>

namespace Entry {

/// Functions through which the packet paths send. Thread-safe and non-blocking.
struct PacketPorts
{
  /// Sends a payload with a PROXY header to an upstream. The source address is the caller.
  std::function<void(const Base::Endpoint& aUpstream,
                     const Wire::ProxyAddresses& aAddresses,
                     absl::string_view aPayload)>
    mToUpstream;
  /// Sends a payload through the fabric to a caller. The source address is the service.
  std::function<void(const Wire::ProxyAddresses& aAddresses, absl::string_view aPayload)> mToCaller;
  /// Sends a payload to another entry instance.
  std::function<
    void(const Base::Endpoint& aPeer, lw::peer::Channel aChannel, absl::string_view aPayload)>
    mToPeer;
};

} // namespace Entry

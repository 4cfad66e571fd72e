#pragma once

#include "absl/status/statusor.h"
#include "base/endpoint.h"

#include "absl/strings/string_view.h"
#include <cstddef>
#include <string>

namespace Wire {

/// Source and destination of a datagram from its PROXY protocol version 2 header.
struct ProxyAddresses
{
  Base::Endpoint mSource;
  Base::Endpoint mDestination;
};

/// A datagram split into the addresses of its header and the payload after it.
struct ProxiedDatagram
{
  ProxyAddresses mAddresses;
  /// Points into the parsed datagram.
  absl::string_view mPayload;
};

/// Length in bytes of the header that AppendProxyHeader writes.
constexpr size_t kProxyHeaderLength = 28;

/// Largest payload of a UDP datagram over IPv4, in bytes.
constexpr size_t kMaxDatagram = 65507;

/// Appends a version 2 header for UDP over IPv4.
void
AppendProxyHeader(const ProxyAddresses& aAddresses, std::string& aOutput);

/// \return a datagram with the header and the payload.
std::string
MakeProxiedDatagram(const ProxyAddresses& aAddresses, absl::string_view aPayload);

/// Parses a datagram that begins with a version 2 header for UDP over IPv4. Extensions are skipped.
/// \return the parts, or InvalidArgument with the reason.
absl::StatusOr<ProxiedDatagram>
ParseProxiedDatagram(absl::string_view aDatagram);

/// \return the addresses with source and destination swapped.
ProxyAddresses
Reversed(const ProxyAddresses& aAddresses);

} // namespace Wire

#pragma once

#include "absl/status/statusor.h"
#include "requests/event.h"
#include "requests/ticket.h"

#include "caller.pb.h"
#include "requestpeer.pb.h"

#include "absl/strings/string_view.h"
#include <cstdint>
#include <optional>

namespace Requests {

/// A caller's packet after decoding, with its ticket checked.
struct CallerMessage
{
  FlowAddresses mAddresses;
  lw::caller::CallerPacket mPacket;
  /// Set for Request and Cancel.
  Ticket mTicket;
};

/// Decodes a caller's packet and opens its ticket.
/// \return the message, InvalidArgument if it is malformed, or PermissionDenied if the ticket is
/// forged or damaged.
absl::StatusOr<CallerMessage>
DecodeCallerPacket(const TicketKey& aKey,
                   const FlowAddresses& aAddresses,
                   absl::string_view aPayload);

/// A peer's message after decoding.
struct PeerMessage
{
  lw::requestpeer::RequestPeerPacket mPacket;
  /// Set if mPacket is a forwarded packet.
  CallerMessage mForwarded;
  /// Upstream whose shard handles the message; absent if all shards need it.
  std::optional<Base::Endpoint> mUpstream;
};

/// Decodes a payload of the channel REQUESTS.
/// \return as DecodeCallerPacket.
absl::StatusOr<PeerMessage>
DecodePeerPayload(const TicketKey& aKey, absl::string_view aPayload);

/// \return the event that counts a packet that could not be decoded.
Event
ToEvent(const absl::Status& aError);

namespace Internal {

lw::requestpeer::Address
ToMessage(const Base::Endpoint& aEndpoint);
Base::Endpoint
FromMessage(const lw::requestpeer::Address& aAddress);
lw::requestpeer::Run
ToMessage(const Run& aRun);
Run
FromMessage(const lw::requestpeer::Run& aRun);

} // namespace Internal

} // namespace Requests

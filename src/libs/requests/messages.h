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

/// Decoded packet of a caller with a verified ticket.
struct CallerMessage
{
  FlowAddresses mAddresses;
  lw::caller::CallerPacket mPacket;
  /// Set for Request and Cancel.
  Ticket mTicket;
};

/// Decodes the packet of a caller and verifies its ticket.
/// \return the message, InvalidArgument if it is malformed, or PermissionDenied if the ticket is
/// forged or corrupt.
absl::StatusOr<CallerMessage>
DecodeCallerPacket(const TicketKey& aKey,
                   const FlowAddresses& aAddresses,
                   absl::string_view aPayload);

/// Decoded message of a peer.
struct PeerMessage
{
  lw::requestpeer::RequestPeerPacket mPacket;
  /// Set if mPacket is a forwarded packet.
  CallerMessage mForwarded;
  /// Upstream whose shard handles the message; absent if it is for all shards.
  std::optional<Base::Endpoint> mUpstream;
};

/// Decodes a payload of the channel REQUESTS.
/// \return the message or an error as for DecodeCallerPacket.
absl::StatusOr<PeerMessage>
DecodePeerPayload(const TicketKey& aKey, absl::string_view aPayload);

/// \return the event to count for a decoding error.
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

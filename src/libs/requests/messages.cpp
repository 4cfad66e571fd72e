#include "requests/messages.h"

#include <utility>

namespace Requests {

namespace {

constexpr uint32_t kMaxPort = 65535;

/// Verifies the ticket of aMessage.mPacket and stores it in aMessage.mTicket.
absl::Status
CheckTicket(const TicketKey& aKey, CallerMessage& aMessage)
{
  const lw::caller::CallerPacket& packet = aMessage.mPacket;
  if (packet.has_open()) {
    return absl::OkStatus();
  }
  if (!packet.has_request() && !packet.has_cancel()) {
    return absl::InvalidArgumentError("caller packet has no message");
  }
  const std::string& sealed =
    packet.has_request() ? packet.request().ticket() : packet.cancel().ticket();
  const absl::StatusOr<Ticket> ticket = OpenTicket(aKey, sealed, aMessage.mAddresses);
  if (!ticket.ok()) {
    return absl::PermissionDeniedError(ticket.status().message());
  }
  aMessage.mTicket = *ticket;
  return absl::OkStatus();
}

bool
IsAddress(const lw::requestpeer::Address& aAddress)
{
  return aAddress.port() > 0 && aAddress.port() <= kMaxPort;
}

absl::Status
DecodeForwarded(const TicketKey& aKey, PeerMessage& aMessage)
{
  lw::requestpeer::Forwarded& forwarded = *aMessage.mPacket.mutable_forwarded();
  if (!IsAddress(forwarded.caller()) || !IsAddress(forwarded.service())) {
    return absl::InvalidArgumentError("forwarded packet has no addresses");
  }
  CallerMessage& inner = aMessage.mForwarded;
  inner.mAddresses = { Internal::FromMessage(forwarded.caller()),
                       Internal::FromMessage(forwarded.service()) };
  inner.mPacket = std::move(*forwarded.mutable_packet());
  const absl::Status ticket = CheckTicket(aKey, inner);
  if (!ticket.ok()) {
    return ticket;
  }
  if (!inner.mPacket.has_open()) {
    aMessage.mUpstream = inner.mTicket.mUpstream;
    return absl::OkStatus();
  }
  if (!IsAddress(forwarded.upstream())) {
    return absl::InvalidArgumentError("forwarded OpenFlow has no upstream");
  }
  aMessage.mUpstream = Internal::FromMessage(forwarded.upstream());
  return absl::OkStatus();
}

} // namespace

absl::StatusOr<CallerMessage>
DecodeCallerPacket(const TicketKey& aKey,
                   const FlowAddresses& aAddresses,
                   absl::string_view aPayload)
{
  CallerMessage message;
  message.mAddresses = aAddresses;
  if (!message.mPacket.ParseFromArray(aPayload.data(), static_cast<int>(aPayload.size()))) {
    return absl::InvalidArgumentError("caller packet is malformed");
  }
  const absl::Status ticket = CheckTicket(aKey, message);
  if (!ticket.ok()) {
    return ticket;
  }
  return message;
}

absl::StatusOr<PeerMessage>
DecodePeerPayload(const TicketKey& aKey, absl::string_view aPayload)
{
  using lw::requestpeer::RequestPeerPacket;
  PeerMessage message;
  if (!message.mPacket.ParseFromArray(aPayload.data(), static_cast<int>(aPayload.size()))) {
    return absl::InvalidArgumentError("peer payload is malformed");
  }
  switch (message.mPacket.message_case()) {
    case RequestPeerPacket::kForwarded: {
      const absl::Status forwarded = DecodeForwarded(aKey, message);
      if (!forwarded.ok()) {
        return forwarded;
      }
      return message;
    }
    case RequestPeerPacket::kTransfer: {
      const lw::requestpeer::FlowTransfer& transfer = message.mPacket.transfer();
      if (!IsAddress(transfer.caller()) || !IsAddress(transfer.service()) ||
          !IsAddress(transfer.upstream())) {
        return absl::InvalidArgumentError("flow transfer has no addresses");
      }
      message.mUpstream = Internal::FromMessage(transfer.upstream());
      return message;
    }
    case RequestPeerPacket::kConfirmed:
      message.mUpstream = Internal::FromMessage(message.mPacket.confirmed().upstream());
      return message;
    case RequestPeerPacket::kRejected:
      message.mUpstream = Internal::FromMessage(message.mPacket.rejected().upstream());
      return message;
    case RequestPeerPacket::kSuccession:
      return message;
    case RequestPeerPacket::MESSAGE_NOT_SET:
      break;
  }
  return absl::InvalidArgumentError("peer payload has no message");
}

Event
ToEvent(const absl::Status& aError)
{
  return absl::IsPermissionDenied(aError) ? Event::DropForgedTicket : Event::DropMalformed;
}

namespace Internal {

lw::requestpeer::Address
ToMessage(const Base::Endpoint& aEndpoint)
{
  lw::requestpeer::Address address;
  address.set_address(aEndpoint.mAddress);
  address.set_port(aEndpoint.mPort);
  return address;
}

Base::Endpoint
FromMessage(const lw::requestpeer::Address& aAddress)
{
  return { aAddress.address(), static_cast<uint16_t>(aAddress.port()) };
}

lw::requestpeer::Run
ToMessage(const Run& aRun)
{
  lw::requestpeer::Run run;
  run.set_instance(aRun.mInstance.mValue);
  run.set_incarnation(aRun.mIncarnation.mValue);
  return run;
}

Run
FromMessage(const lw::requestpeer::Run& aRun)
{
  return { Base::InstanceId(aRun.instance()), Base::Incarnation(aRun.incarnation()) };
}

} // namespace Internal

} // namespace Requests

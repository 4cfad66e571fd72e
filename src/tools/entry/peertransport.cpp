#include "peertransport.h"

#include "udputils.h"

#include <utility>

namespace Entry {

PeerTransport::PeerTransport(boost::asio::io_context& aContext,
                             const PeerSender& aSelf,
                             Metrics::Registry& aMetrics)
  : mSelf(aSelf)
  , mSocket(aContext, ToAsio(aSelf.mEndpoint))
  , mReceivedBytes(aMetrics.CounterFor("peer_received_bytes_total"))
  , mSentBytes(aMetrics.CounterFor("peer_sent_bytes_total"))
  , mMalformed(aMetrics.CounterFor("drops_total{reason=\"peer_malformed\"}"))
{
}

void
PeerTransport::SetHandler(lw::peer::Channel aChannel, Handler aHandler)
{
  mHandlers[aChannel] = std::move(aHandler);
}

void
PeerTransport::Start()
{
  Receive();
}

void
PeerTransport::Receive()
{
  mSocket.async_receive_from(boost::asio::buffer(mBuffer),
                             mFrom,
                             [this](const boost::system::error_code& aError, size_t aLength) {
                               if (aError == boost::asio::error::operation_aborted) {
                                 return;
                               }
                               if (!aError) {
                                 Handle(aLength);
                               }
                               Receive();
                             });
}

void
PeerTransport::Handle(size_t aLength)
{
  mReceivedBytes.Add(aLength);
  lw::peer::PeerPacket packet;
  if (!packet.ParseFromArray(mBuffer.data(), static_cast<int>(aLength))) {
    mMalformed.Add();
    return;
  }
  const auto handler = mHandlers.find(packet.channel());
  if (handler == mHandlers.end()) {
    mMalformed.Add();
    return;
  }
  const PeerSender sender{ Base::InstanceId(packet.sender()),
                           Base::Incarnation(packet.sender_incarnation()),
                           FromAsio(mFrom) };
  handler->second(sender, packet.payload());
}

void
PeerTransport::Send(const Base::Endpoint& aTo,
                    lw::peer::Channel aChannel,
                    absl::string_view aPayload)
{
  lw::peer::PeerPacket packet;
  packet.set_sender(mSelf.mId.mValue);
  packet.set_sender_incarnation(mSelf.mIncarnation.mValue);
  packet.set_channel(aChannel);
  packet.set_payload(aPayload.data(), aPayload.size());
  const std::string datagram = packet.SerializeAsString();
  if (SendDatagram(mSocket.native_handle(), aTo, datagram)) {
    mSentBytes.Add(datagram.size());
  }
}

} // namespace Entry

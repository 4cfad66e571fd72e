#include "udpsocket.h"

#include <utility>

namespace CallerStandIn {

using boost::asio::ip::udp;

UdpSocket::UdpSocket(boost::asio::io_context& aContext,
                     const Base::Endpoint& aIngress,
                     Handler aHandler)
  : mSocket(aContext, udp::v4())
  , mHandler(std::move(aHandler))
{
  // Connecting the socket discards datagrams from any other source than the ingress.
  mSocket.connect({ boost::asio::ip::address_v4(aIngress.mAddress), aIngress.mPort });
  Receive();
}

void
UdpSocket::Send(absl::string_view aDatagram)
{
  boost::system::error_code ignored;
  mSocket.send(boost::asio::buffer(aDatagram.data(), aDatagram.size()), 0, ignored);
}

void
UdpSocket::Receive()
{
  mSocket.async_receive(boost::asio::buffer(mBuffer),
                        [this](const boost::system::error_code& aError, size_t aLength) {
                          if (aError == boost::asio::error::operation_aborted) {
                            return;
                          }
                          if (!aError) {
                            mHandler(absl::string_view(mBuffer.data(), aLength));
                          }
                          Receive();
                        });
}

} // namespace CallerStandIn

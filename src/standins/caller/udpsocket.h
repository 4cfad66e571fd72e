#pragma once

#include "absl/strings/string_view.h"
#include "base/endpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>

namespace CallerStandIn {

/// UDP socket of a simulated caller, connected to one ingress of the fabric.
class UdpSocket
{
public:
  using Handler = std::function<void(absl::string_view)>;

  UdpSocket(boost::asio::io_context& aContext, const Base::Endpoint& aIngress, Handler aHandler);

  void Send(absl::string_view aDatagram);

private:
  void Receive();

  boost::asio::ip::udp::socket mSocket;
  Handler mHandler;
  std::array<char, 4096> mBuffer{};
};

} // namespace CallerStandIn

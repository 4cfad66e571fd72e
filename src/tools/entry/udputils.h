#pragma once

#include "absl/strings/string_view.h"
#include "base/endpoint.h"

#include <boost/asio/ip/udp.hpp>

#include <netinet/in.h>
#include <sys/socket.h>

namespace Entry {

inline boost::asio::ip::udp::endpoint
ToAsio(const Base::Endpoint& aEndpoint)
{
  return { boost::asio::ip::address_v4(aEndpoint.mAddress), aEndpoint.mPort };
}

inline Base::Endpoint
FromAsio(const boost::asio::ip::udp::endpoint& aEndpoint)
{
  return { aEndpoint.address().to_v4().to_uint(), aEndpoint.port() };
}

/// Sends a datagram without blocking. Takes the descriptor because, unlike an asio socket, it may
/// be used by several threads at the same time.
inline bool
SendDatagram(int aDescriptor, const Base::Endpoint& aTo, absl::string_view aDatagram)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(aTo.mAddress);
  address.sin_port = htons(aTo.mPort);
  const ssize_t sent = ::sendto(aDescriptor,
                                aDatagram.data(),
                                aDatagram.size(),
                                MSG_DONTWAIT,
                                reinterpret_cast<const sockaddr*>(&address),
                                sizeof(address));
  return sent == static_cast<ssize_t>(aDatagram.size());
}

} // namespace Entry

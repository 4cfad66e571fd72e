#pragma once

#include "absl/strings/string_view.h"
#include "base/endpoint.h"
#include "base/ids.h"
#include "metrics/registry.h"

#include "peer.pb.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <map>

namespace Entry {

/// Sender of a datagram to the peer port.
struct PeerSender
{
  Base::InstanceId mId;
  Base::Incarnation mIncarnation;
  Base::Endpoint mEndpoint;
};

/// Exchanges UDP datagrams between entry instances, with one handler per channel.
class PeerTransport
{
public:
  using Handler = std::function<void(const PeerSender&, absl::string_view)>;

  /// \param aSelf is the sender of outgoing datagrams.
  PeerTransport(boost::asio::io_context& aContext,
                const PeerSender& aSelf,
                Metrics::Registry& aMetrics);

  /// Sets the handler of a channel. Call this before Start().
  void SetHandler(lw::peer::Channel aChannel, Handler aHandler);

  void Start();

  /// Sends a datagram, or drops it if the socket buffer is full. Thread-safe.
  void Send(const Base::Endpoint& aTo, lw::peer::Channel aChannel, absl::string_view aPayload);

private:
  void Receive();
  void Handle(size_t aLength);

  PeerSender mSelf;
  boost::asio::ip::udp::socket mSocket;
  boost::asio::ip::udp::endpoint mFrom;
  std::array<char, 65536> mBuffer{};
  std::map<lw::peer::Channel, Handler> mHandlers;
  Metrics::Counter& mReceivedBytes;
  Metrics::Counter& mSentBytes;
  Metrics::Counter& mMalformed;
};

} // namespace Entry

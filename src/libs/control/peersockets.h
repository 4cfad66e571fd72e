#pragma once

#include "control/controlsettings.h"

#include "consensus.pb.h"

#include <zmq.hpp>

#include <map>
#include <optional>

namespace Control {

/// ZeroMQ sockets to the other control instances. Not thread-safe. Messages to an instance that is
/// not connected are dropped. The log resends them if they are still needed.
class PeerSockets
{
public:
  PeerSockets(zmq::context_t& aContext, const ControlSettings& aSettings);

  /// Connects to an instance in the background, so that a later message is not dropped while its
  /// connection is being set up. Does nothing if a connection or an attempt exists.
  void Connect(Base::InstanceId aInstance);

  void Send(const lw::consensus::Message& aMessage);
  /// \return the next received message, or std::nullopt.
  std::optional<lw::consensus::Message> Receive();

  /// \return the socket on which messages arrive, for polling.
  zmq::socket_t& Incoming() { return mIncoming; }

private:
  zmq::socket_t* OutgoingSocket(uint32_t aInstance);

  zmq::context_t& mContext;
  const ControlSettings& mSettings;
  zmq::socket_t mIncoming;
  std::map<uint32_t, zmq::socket_t> mOutgoing;
};

} // namespace Control

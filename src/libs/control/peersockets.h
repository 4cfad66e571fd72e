#pragma once

#include "control/controlsettings.h"

#include "consensus.pb.h"

#include <zmq.hpp>

#include <map>
#include <optional>

namespace Control {

/// ZeroMQ sockets to the other control instances. Used by one thread. A message to an instance that
/// is not connected is dropped; the log sends it again if it is still needed.
class PeerSockets
{
public:
  PeerSockets(zmq::context_t& aContext, const ControlSettings& aSettings);

  void Send(const lw::consensus::Message& aMessage);
  /// \return the next message that has arrived, or nothing.
  std::optional<lw::consensus::Message> Receive();

  /// The socket that becomes readable when a message arrives.
  zmq::socket_t& Incoming() { return mIncoming; }

private:
  zmq::socket_t* OutgoingTo(uint32_t aInstance);

  zmq::context_t& mContext;
  const ControlSettings& mSettings;
  zmq::socket_t mIncoming;
  std::map<uint32_t, zmq::socket_t> mOutgoing;
};

} // namespace Control

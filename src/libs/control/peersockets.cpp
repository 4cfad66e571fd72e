#include "control/peersockets.h"

#include "absl/strings/str_cat.h"

#include <glog/logging.h>

namespace Control {

namespace {

/// Messages kept for a connected instance that reads slowly.
constexpr int kQueueLimit = 1000;
constexpr int kReconnectMs = 50;
constexpr int kMaxReconnectMs = 500;
/// A connection on which nothing arrives for this long is opened again. Without it a connection
/// that a partition broke silently would be used until the kernel gives up, minutes later.
constexpr int kHeartbeatMs = 500;
/// The kernel repeats the first packet of a connection only after a second, so an attempt that met
/// a machine without power is given up and made again before that.
constexpr int kConnectTimeoutMs = 250;
/// Bounds the sockets when instances come and go under new ids.
constexpr size_t kMaxPeers = 64;
constexpr int kHeartbeatTimeoutMs = 2000;
/// Larger than a snapshot piece or an append.
constexpr int64_t kMaxMessageBytes = int64_t{ 16 } * 1024 * 1024;

std::string
Address(const Base::Endpoint& aEndpoint)
{
  return absl::StrCat("tcp://", Base::ToString(aEndpoint));
}

} // namespace

PeerSockets::PeerSockets(zmq::context_t& aContext, const ControlSettings& aSettings)
  : mContext(aContext)
  , mSettings(aSettings)
  , mIncoming(aContext, zmq::socket_type::pull)
{
  mIncoming.set(zmq::sockopt::linger, 0);
  mIncoming.set(zmq::sockopt::maxmsgsize, kMaxMessageBytes);
  mIncoming.set(zmq::sockopt::heartbeat_ivl, kHeartbeatMs);
  mIncoming.set(zmq::sockopt::heartbeat_timeout, kHeartbeatTimeoutMs);
  if (aSettings.mInstances.size() > 1 || aSettings.mIdsAreAddresses) {
    mIncoming.bind(Address(aSettings.mPeerListen));
  }
}

zmq::socket_t*
PeerSockets::OutgoingTo(uint32_t aInstance)
{
  const auto found = mOutgoing.find(aInstance);
  if (found != mOutgoing.end()) {
    return &found->second;
  }
  const std::optional<ControlAddress> peer = AddressOf(mSettings, Base::InstanceId(aInstance));
  if (!peer.has_value() || peer->mInstance == mSettings.mInstance ||
      mOutgoing.size() >= kMaxPeers) {
    return nullptr;
  }
  zmq::socket_t socket(mContext, zmq::socket_type::push);
  socket.set(zmq::sockopt::linger, 0);
  socket.set(zmq::sockopt::immediate, 1);
  socket.set(zmq::sockopt::sndhwm, kQueueLimit);
  socket.set(zmq::sockopt::connect_timeout, kConnectTimeoutMs);
  socket.set(zmq::sockopt::reconnect_ivl, kReconnectMs);
  socket.set(zmq::sockopt::reconnect_ivl_max, kMaxReconnectMs);
  socket.set(zmq::sockopt::heartbeat_ivl, kHeartbeatMs);
  socket.set(zmq::sockopt::heartbeat_timeout, kHeartbeatTimeoutMs);
  socket.connect(Address(peer->mPeerAddress));
  return &mOutgoing.emplace(aInstance, std::move(socket)).first->second;
}

void
PeerSockets::Send(const lw::consensus::Message& aMessage)
{
  zmq::socket_t* socket = OutgoingTo(aMessage.to());
  if (socket == nullptr) {
    return;
  }
  const std::string bytes = aMessage.SerializeAsString();
  socket->send(zmq::buffer(bytes), zmq::send_flags::dontwait);
}

std::optional<lw::consensus::Message>
PeerSockets::Receive()
{
  zmq::message_t bytes;
  while (mIncoming.recv(bytes, zmq::recv_flags::dontwait)) {
    lw::consensus::Message message;
    if (message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
      return message;
    }
    LOG(WARNING) << "[control] Malformed message from a control instance ignored.";
  }
  return std::nullopt;
}

} // namespace Control

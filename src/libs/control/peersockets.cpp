#include "control/peersockets.h"

#include "absl/strings/str_cat.h"

#include <glog/logging.h>

namespace Control {

namespace {

/// Maximum number of messages queued for a connected instance that reads slowly.
constexpr int kQueueLimit = 1000;
constexpr int kReconnectMs = 50;
constexpr int kMaxReconnectMs = 500;
/// Interval and timeout of ZeroMQ heartbeats, which detect connections broken by a network
/// partition. Without them, such a connection is used until TCP times out minutes later.
constexpr int kHeartbeatMs = 500;
constexpr int kHeartbeatTimeoutMs = 2000;
/// Shorter than the first SYN retransmission of the kernel after 1 s, so that an attempt to connect
/// to a machine without power is repeated sooner.
constexpr int kConnectTimeoutMs = 250;
/// Limits the number of sockets when instances are replaced by ones with new ids.
constexpr size_t kMaxPeers = 64;
/// Must exceed the size of a snapshot piece and of an append.
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
PeerSockets::OutgoingSocket(uint32_t aInstance)
{
  const auto found = mOutgoing.find(aInstance);
  if (found != mOutgoing.end()) {
    return &found->second;
  }
  const std::optional<ControlAddress> peer =
    FindControlAddress(mSettings, Base::InstanceId(aInstance));
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
PeerSockets::Connect(Base::InstanceId aInstance)
{
  OutgoingSocket(aInstance.mValue);
}

void
PeerSockets::Send(const lw::consensus::Message& aMessage)
{
  zmq::socket_t* socket = OutgoingSocket(aMessage.to());
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
    LOG(WARNING) << "[control] Ignoring a malformed message from a control instance.";
  }
  return std::nullopt;
}

} // namespace Control

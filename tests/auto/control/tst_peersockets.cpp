#include "control/peersockets.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <thread>

#include <CppUTest/TestHarness.h>

namespace {

constexpr Base::InstanceId kSender{ 1 };
constexpr Base::InstanceId kReceiver{ 2 };
constexpr uint32_t kLoopback = 0x7f000001;
constexpr std::chrono::milliseconds kConnectTime{ 500 };
constexpr std::chrono::milliseconds kPollInterval{ 10 };
constexpr int kMaxPolls = 200;

Base::Endpoint
FreeEndpoint()
{
  boost::asio::io_context context;
  const boost::asio::ip::tcp::acceptor acceptor(context,
                                                { boost::asio::ip::address_v4(kLoopback), 0 });
  return { kLoopback, acceptor.local_endpoint().port() };
}

Control::ControlSettings
SettingsOf(Base::InstanceId aSelf, const Base::Endpoint& aSender, const Base::Endpoint& aReceiver)
{
  Control::ControlSettings settings;
  settings.mInstance = aSelf;
  settings.mPeerListen = aSelf == kSender ? aSender : aReceiver;
  settings.mInstances = { { kSender, aSender, {} }, { kReceiver, aReceiver, {} } };
  return settings;
}

bool
ReceivesMessage(Control::PeerSockets& aSockets)
{
  for (int i = 0; i < kMaxPolls; ++i) {
    if (aSockets.Receive().has_value()) {
      return true;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return false;
}

} // namespace

TEST_GROUP(PeerSockets){};

// Guards against an election after a common restart that takes one more round, because the first
// vote requests are dropped while their connections are being set up.
TEST(PeerSockets, FirstMessageAfterConnectArrives)
{
  const Base::Endpoint senderEndpoint = FreeEndpoint();
  const Base::Endpoint receiverEndpoint = FreeEndpoint();
  const auto senderSettings = SettingsOf(kSender, senderEndpoint, receiverEndpoint);
  const auto receiverSettings = SettingsOf(kReceiver, senderEndpoint, receiverEndpoint);
  zmq::context_t context;
  Control::PeerSockets sender(context, senderSettings);
  Control::PeerSockets receiver(context, receiverSettings);
  sender.Connect(kReceiver);
  std::this_thread::sleep_for(kConnectTime);
  lw::consensus::Message message;
  message.set_from(kSender.mValue);
  message.set_to(kReceiver.mValue);
  sender.Send(message);
  CHECK_TRUE(ReceivesMessage(receiver));
}

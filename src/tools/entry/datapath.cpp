#include "datapath.h"

#include "udputils.h"

#include <boost/asio/io_context.hpp>

#include <array>
#include <functional>
#include <thread>

namespace Entry {

namespace {

using boost::asio::ip::udp;
using ReusePort = boost::asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

constexpr int kSocketBufferBytes = 4 * 1024 * 1024;

udp::socket
OpenSocket(boost::asio::io_context& aContext, const udp::endpoint& aListen)
{
  udp::socket socket(aContext, udp::v4());
  socket.set_option(ReusePort(true));
  socket.set_option(boost::asio::socket_base::receive_buffer_size(kSocketBufferBytes));
  socket.bind(aListen);
  return socket;
}

} // namespace

/// A thread with one socket for the fabric and one for the upstreams.
class Datapath::Worker
{
public:
  Worker(const EntrySettings& aSettings,
         const Base::Snapshot<Config::ServiceIndex>& aServices,
         const Base::Snapshot<Membership::View>& aView,
         Metrics::Registry& aMetrics)
    : mFabricSocket(OpenSocket(mContext, ToAsio(aSettings.mDatagramListen)))
    , mUpstreamSocket(
        OpenSocket(mContext,
                   { boost::asio::ip::address_v4(aSettings.mDatagramListen.mAddress), 0 }))
    , mServices(aServices)
    , mView(aView)
    , mMalformed(aMetrics.CounterFor("drops_total{reason=\"malformed\"}"))
    , mUnknownService(aMetrics.CounterFor("drops_total{reason=\"unknown_service\"}"))
    , mWrongUpstream(aMetrics.CounterFor("drops_total{reason=\"reply_from_other_upstream\"}"))
  {
  }

  void Start(OpaquePath& aOpaque, RequestPath& aRequests, Datapath& aOwner)
  {
    mOpaque = &aOpaque;
    mRequests = &aRequests;
    mOwner = &aOwner;
    Receive(mFabricSocket, mFabricBuffer, mFabricFrom, [this](absl::string_view aDatagram) {
      HandleFabric(aDatagram);
    });
    Receive(mUpstreamSocket, mUpstreamBuffer, mUpstreamFrom, [this](absl::string_view aDatagram) {
      HandleUpstream(aDatagram);
    });
    mThread = std::thread([this] { mContext.run(); });
  }

  void Stop()
  {
    mContext.stop();
    if (mThread.joinable()) {
      mThread.join();
    }
  }

  int UpstreamDescriptor() { return mUpstreamSocket.native_handle(); }

private:
  using Buffer = std::array<char, 65536>;
  using DatagramHandler = std::function<void(absl::string_view)>;

  void Receive(udp::socket& aSocket,
               Buffer& aBuffer,
               udp::endpoint& aFrom,
               DatagramHandler aHandler)
  {
    aSocket.async_receive_from(boost::asio::buffer(aBuffer),
                               aFrom,
                               [this, &aSocket, &aBuffer, &aFrom, handler = std::move(aHandler)](
                                 const boost::system::error_code& aError, size_t aLength) {
                                 if (aError == boost::asio::error::operation_aborted) {
                                   return;
                                 }
                                 if (!aError) {
                                   handler(absl::string_view(aBuffer.data(), aLength));
                                 }
                                 Receive(aSocket, aBuffer, aFrom, handler);
                               });
  }

  const Config::ServiceView* FindService(const Base::Endpoint& aAddress)
  {
    const auto& services = mServices.Load()->mByAddress;
    const auto found = services.find(aAddress);
    if (found == services.end()) {
      mUnknownService.Add();
      return nullptr;
    }
    return found->second.get();
  }

  void HandleFabric(absl::string_view aDatagram)
  {
    const absl::StatusOr<Wire::ProxiedDatagram> parts = Wire::ParseProxiedDatagram(aDatagram);
    if (!parts.ok()) {
      mMalformed.Add();
      return;
    }
    const Config::ServiceView* service = FindService(parts->mAddresses.mDestination);
    if (service == nullptr) {
      return;
    }
    if (service->mDefinition.kind() == lw::config::REQUEST) {
      mRequests->HandleCallerPacket(*service, parts->mAddresses, parts->mPayload);
    } else {
      mOpaque->HandleCallerPacket(*service, parts->mAddresses, parts->mPayload);
    }
  }

  void HandleUpstream(absl::string_view aDatagram)
  {
    const absl::StatusOr<Wire::ProxiedDatagram> parts = Wire::ParseProxiedDatagram(aDatagram);
    if (!parts.ok()) {
      mMalformed.Add();
      return;
    }
    const Config::ServiceView* service = FindService(parts->mAddresses.mSource);
    if (service == nullptr) {
      return;
    }
    const Base::Endpoint from = FromAsio(mUpstreamFrom);
    if (Membership::FindUpstream(*mView.Load(), from, service->mGeneration) == nullptr) {
      mWrongUpstream.Add();
      return;
    }
    if (service->mDefinition.kind() == lw::config::REQUEST) {
      mRequests->HandleUpstreamPacket(*service, from, parts->mPayload);
    } else {
      mOwner->SendToCaller(parts->mAddresses, parts->mPayload);
    }
  }

  boost::asio::io_context mContext{ 1 };
  udp::socket mFabricSocket;
  udp::socket mUpstreamSocket;
  udp::endpoint mFabricFrom;
  udp::endpoint mUpstreamFrom;
  Buffer mFabricBuffer{};
  Buffer mUpstreamBuffer{};
  Base::SnapshotReader<Config::ServiceIndex> mServices;
  Base::SnapshotReader<Membership::View> mView;
  Metrics::Counter& mMalformed;
  Metrics::Counter& mUnknownService;
  Metrics::Counter& mWrongUpstream;
  OpaquePath* mOpaque = nullptr;
  RequestPath* mRequests = nullptr;
  Datapath* mOwner = nullptr;
  std::thread mThread;
};

Datapath::Datapath(const EntrySettings& aSettings,
                   const Base::Snapshot<Config::ServiceIndex>& aServices,
                   const Base::Snapshot<Membership::View>& aView,
                   Metrics::Registry& aMetrics)
  : mSettings(aSettings)
  , mSendFailed(aMetrics.CounterFor("drops_total{reason=\"send_failed\"}"))
{
  for (int i = 0; i < aSettings.mThreads; ++i) {
    mWorkers.push_back(std::make_unique<Worker>(aSettings, aServices, aView, aMetrics));
  }
}

Datapath::~Datapath()
{
  Stop();
}

void
Datapath::Start(OpaquePath& aOpaque, RequestPath& aRequests)
{
  for (const auto& worker : mWorkers) {
    worker->Start(aOpaque, aRequests, *this);
  }
}

void
Datapath::Stop()
{
  for (const auto& worker : mWorkers) {
    worker->Stop();
  }
}

void
Datapath::SendToUpstream(const Base::Endpoint& aUpstream,
                         const Wire::ProxyAddresses& aAddresses,
                         absl::string_view aPayload)
{
  const size_t worker = std::hash<Base::Endpoint>()(aAddresses.mSource) % mWorkers.size();
  const std::string datagram = Wire::MakeProxiedDatagram(aAddresses, aPayload);
  if (!SendDatagram(mWorkers[worker]->UpstreamDescriptor(), aUpstream, datagram)) {
    mSendFailed.Add();
  }
}

void
Datapath::SendToCaller(const Wire::ProxyAddresses& aAddresses, absl::string_view aPayload)
{
  const std::string datagram = Wire::MakeProxiedDatagram(aAddresses, aPayload);
  if (!SendDatagram(mWorkers[0]->UpstreamDescriptor(), mSettings.mEgress, datagram)) {
    mSendFailed.Add();
  }
}

} // namespace Entry

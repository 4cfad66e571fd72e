#include "responder.h"

#include "absl/strings/str_cat.h"

#include <memory>

namespace UpstreamStandIn {

namespace {

using boost::asio::ip::udp;
using Timer = boost::asio::basic_waitable_timer<std::chrono::steady_clock>;

/// Header form bit of RFC 8999, set in the packets that open a flow.
constexpr uint8_t kLongHeaderBit = 0x80;
constexpr int kSocketBufferBytes = 4 * 1024 * 1024;

} // namespace

Responder::Responder(boost::asio::io_context& aContext, const ResponderSettings& aSettings)
  : mContext(aContext)
  , mSettings(aSettings)
  , mSocket(aContext,
            { boost::asio::ip::address_v4(aSettings.mListen.mAddress), aSettings.mListen.mPort })
{
  mSocket.set_option(boost::asio::socket_base::receive_buffer_size(kSocketBufferBytes));
  if (!aSettings.mRecordPath.empty()) {
    mRecord.open(aSettings.mRecordPath, std::ios::app);
  }
}

void
Responder::Start()
{
  Receive();
}

void
Responder::BeginDrain()
{
  mDrainStart = std::chrono::steady_clock::now();
  mDraining = true;
}

void
Responder::CountLateWork()
{
  if (mDraining && std::chrono::steady_clock::now() > mDrainStart.load() + kDrainGracePeriod) {
    ++mLateWork;
  }
}

void
Responder::Receive()
{
  mSocket.async_receive_from(boost::asio::buffer(mBuffer),
                             mSender,
                             [this](const boost::system::error_code& aError, size_t aLength) {
                               if (!aError) {
                                 HandleDatagram(absl::string_view(mBuffer.data(), aLength));
                               }
                               Receive();
                             });
}

void
Responder::HandleDatagram(absl::string_view aDatagram)
{
  const absl::StatusOr<Wire::ProxiedDatagram> parts = Wire::ParseProxiedDatagram(aDatagram);
  if (!parts.ok()) {
    return;
  }
  if (!mSettings.mIsRequestService) {
    const bool isOpening =
      !parts->mPayload.empty() && (static_cast<uint8_t>(parts->mPayload[0]) & kLongHeaderBit) != 0;
    if (isOpening) {
      CountLateWork();
    }
    const std::string echo =
      absl::StrCat(parts->mPayload, "|", mSettings.mName, "|", mSettings.mService);
    SendDatagram(parts->mAddresses, mSender, echo);
    return;
  }
  lw::upstream::ToUpstream packet;
  if (packet.ParseFromArray(parts->mPayload.data(), static_cast<int>(parts->mPayload.size())) &&
      packet.has_work()) {
    HandleWork(parts->mAddresses, packet.work());
  }
}

void
Responder::HandleWork(const Wire::ProxyAddresses& aAddresses, const lw::upstream::Work& aWork)
{
  CountLateWork();
  if (mRunningRequests >= mSettings.mSlots) {
    lw::upstream::FromUpstream packet;
    *packet.mutable_shed()->mutable_id() = aWork.id();
    SendDatagram(aAddresses, mSender, packet.SerializeAsString());
    return;
  }
  ++mRunningRequests;
  if (mRecord.is_open()) {
    mRecord << aWork.body() << std::endl;
  }
  const auto timer = std::make_shared<Timer>(mContext, mSettings.mServiceTime);
  timer->async_wait(
    [this, timer, aAddresses, to = mSender, aWork](const boost::system::error_code& aError) {
      --mRunningRequests;
      if (!aError) {
        SendAnswer(aAddresses, to, aWork);
      }
    });
}

void
Responder::SendAnswer(const Wire::ProxyAddresses& aAddresses,
                      const udp::endpoint& aTo,
                      const lw::upstream::Work& aWork)
{
  for (uint32_t index = 0; index < mSettings.mPiecesPerAnswer; ++index) {
    lw::upstream::FromUpstream packet;
    lw::upstream::WorkPiece* piece = packet.mutable_piece();
    *piece->mutable_id() = aWork.id();
    piece->set_index(index);
    piece->set_total(mSettings.mPiecesPerAnswer);
    piece->set_body(absl::StrCat(mSettings.mService, ":", aWork.body(), ":", index, ";"));
    SendDatagram(aAddresses, aTo, packet.SerializeAsString());
  }
}

void
Responder::SendDatagram(const Wire::ProxyAddresses& aAddresses,
                        const udp::endpoint& aTo,
                        absl::string_view aPayload)
{
  const std::string datagram = Wire::MakeProxiedDatagram(Wire::Reversed(aAddresses), aPayload);
  boost::system::error_code ignored;
  mSocket.send_to(boost::asio::buffer(datagram), aTo, 0, ignored);
}

} // namespace UpstreamStandIn

#include "responder.h"

#include "absl/strings/str_cat.h"

#include <memory>

namespace UpstreamStandIn {

namespace {

using boost::asio::ip::udp;
using Timer = boost::asio::basic_waitable_timer<std::chrono::steady_clock>;

/// Header form bit of RFC 8999.
constexpr uint8_t kOpeningBit = 0x80;
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
  if (mDraining && std::chrono::steady_clock::now() > mDrainStart.load() + kDrainNotice) {
    ++mLateWork;
  }
}

void
Responder::Receive()
{
  mSocket.async_receive_from(boost::asio::buffer(mBuffer),
                             mFrom,
                             [this](const boost::system::error_code& aError, size_t aLength) {
                               if (!aError) {
                                 Handle(absl::string_view(mBuffer.data(), aLength));
                               }
                               Receive();
                             });
}

void
Responder::Handle(absl::string_view aDatagram)
{
  const absl::StatusOr<Wire::ProxiedDatagram> parts = Wire::ParseProxiedDatagram(aDatagram);
  if (!parts.ok()) {
    return;
  }
  if (!mSettings.mIsRequestService) {
    const bool isOpening =
      !parts->mPayload.empty() && (static_cast<uint8_t>(parts->mPayload[0]) & kOpeningBit) != 0;
    if (isOpening) {
      CountLateWork();
    }
    const std::string echo =
      absl::StrCat(parts->mPayload, "|", mSettings.mName, "|", mSettings.mService);
    Send(parts->mAddresses, mFrom, echo);
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
  if (mRunning >= mSettings.mSlots) {
    lw::upstream::FromUpstream shed;
    *shed.mutable_shed()->mutable_id() = aWork.id();
    Send(aAddresses, mFrom, shed.SerializeAsString());
    return;
  }
  ++mRunning;
  if (mRecord.is_open()) {
    mRecord << aWork.body() << std::endl;
  }
  const auto timer = std::make_shared<Timer>(mContext, mSettings.mServiceTime);
  timer->async_wait(
    [this, timer, aAddresses, to = mFrom, aWork](const boost::system::error_code& aError) {
      --mRunning;
      if (!aError) {
        Answer(aAddresses, to, aWork);
      }
    });
}

void
Responder::Answer(const Wire::ProxyAddresses& aAddresses,
                  const udp::endpoint& aTo,
                  const lw::upstream::Work& aWork)
{
  for (uint32_t index = 0; index < mSettings.mPieces; ++index) {
    lw::upstream::FromUpstream packet;
    lw::upstream::WorkPiece* piece = packet.mutable_piece();
    *piece->mutable_id() = aWork.id();
    piece->set_index(index);
    piece->set_total(mSettings.mPieces);
    piece->set_body(absl::StrCat(mSettings.mService, ":", aWork.body(), ":", index, ";"));
    Send(aAddresses, aTo, packet.SerializeAsString());
  }
}

void
Responder::Send(const Wire::ProxyAddresses& aAddresses,
                const udp::endpoint& aTo,
                absl::string_view aPayload)
{
  const std::string datagram = Wire::MakeProxiedDatagram(Wire::Reversed(aAddresses), aPayload);
  boost::system::error_code ignored;
  mSocket.send_to(boost::asio::buffer(datagram), aTo, 0, ignored);
}

} // namespace UpstreamStandIn

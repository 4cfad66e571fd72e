#include "opaqueload.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "udpsocket.h"

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <map>

namespace CallerStandIn {

namespace {

constexpr std::chrono::milliseconds kResendInterval{ 300 };
/// A flow counts as broken if a packet has no echo after this many resends.
constexpr int kMaxResends = 20;
/// First byte of an opening packet (long header) and of later packets (short header), see RFC 8999.
constexpr char kLongHeaderByte = '\xC0';
constexpr char kShortHeaderByte = '\x40';

} // namespace

class OpaqueLoad::Flow
{
public:
  Flow(boost::asio::io_context& aContext, const OpaqueLoadSettings& aSettings, uint32_t aFlowIndex)
    : mSettings(aSettings)
    , mFlowIndex(aFlowIndex)
    , mSocket(aContext, aSettings.mIngress, [this](absl::string_view aEcho) { HandleEcho(aEcho); })
    , mTimer(aContext)
  {
  }

  void SendNextPacket()
  {
    if (mStopped || mBroken) {
      return;
    }
    ++mSequence;
    mResends = 0;
    mAwaitingEcho = true;
    SendCurrentPacket();
  }

  void Stop()
  {
    mStopped = true;
    mTimer.cancel();
  }

  bool mBroken = false;
  uint64_t mEchoes = 0;
  uint64_t mMisdelivered = 0;
  std::string mUpstream;

private:
  std::string Payload() const
  {
    const char firstByte = mUpstream.empty() ? kLongHeaderByte : kShortHeaderByte;
    return absl::StrCat(std::string(1, firstByte), "flow", mFlowIndex, "-", mSequence);
  }

  void SendCurrentPacket()
  {
    mSocket.Send(Payload());
    ArmTimer(kResendInterval);
  }

  void ArmTimer(std::chrono::milliseconds aDelay)
  {
    mTimer.expires_after(aDelay);
    mTimer.async_wait([this](const boost::system::error_code& aError) {
      if (!aError) {
        HandleTimer();
      }
    });
  }

  void HandleTimer()
  {
    if (mStopped) {
      return;
    }
    if (!mAwaitingEcho) {
      SendNextPacket();
      return;
    }
    if (++mResends > kMaxResends) {
      mBroken = true;
      return;
    }
    SendCurrentPacket();
  }

  void HandleEcho(absl::string_view aEcho)
  {
    const std::vector<std::string> parts = absl::StrSplit(std::string(aEcho), '|');
    if (parts.size() != 3) {
      return;
    }
    if (parts[2] != mSettings.mService) {
      ++mMisdelivered;
    }
    if (mUpstream.empty()) {
      mUpstream = parts[1];
    }
    if (parts[1] != mUpstream) {
      mBroken = true;
    }
    const bool isCurrent =
      absl::StrContains(parts[0], absl::StrCat("flow", mFlowIndex, "-", mSequence));
    if (!mAwaitingEcho || !isCurrent) {
      return;
    }
    ++mEchoes;
    mAwaitingEcho = false;
    ArmTimer(mSettings.mPacketInterval);
  }

  const OpaqueLoadSettings& mSettings;
  uint32_t mFlowIndex;
  UdpSocket mSocket;
  boost::asio::steady_timer mTimer;
  uint64_t mSequence = 0;
  int mResends = 0;
  bool mAwaitingEcho = false;
  bool mStopped = false;
};

OpaqueLoad::OpaqueLoad(boost::asio::io_context& aContext, const OpaqueLoadSettings& aSettings)
  : mSettings(aSettings)
{
  for (uint32_t index = 0; index < aSettings.mFlows; ++index) {
    mFlows.push_back(std::make_unique<Flow>(aContext, mSettings, index));
  }
}

OpaqueLoad::~OpaqueLoad() = default;

void
OpaqueLoad::Start()
{
  for (const auto& flow : mFlows) {
    flow->SendNextPacket();
  }
}

void
OpaqueLoad::Stop()
{
  for (const auto& flow : mFlows) {
    flow->Stop();
  }
}

void
OpaqueLoad::Report(nlohmann::json& aResult) const
{
  uint64_t broken = 0;
  uint64_t misdelivered = 0;
  uint64_t echoes = 0;
  std::map<std::string, uint64_t> flowsPerUpstream;
  for (const auto& flow : mFlows) {
    broken += flow->mBroken ? 1 : 0;
    misdelivered += flow->mMisdelivered;
    echoes += flow->mEchoes;
    ++flowsPerUpstream[flow->mUpstream];
  }
  aResult["flows"] = mFlows.size();
  aResult["broken_flows"] = broken;
  aResult["misdelivered_packets"] = misdelivered;
  aResult["echoes"] = echoes;
  aResult["flows_per_upstream"] = flowsPerUpstream;
}

} // namespace CallerStandIn

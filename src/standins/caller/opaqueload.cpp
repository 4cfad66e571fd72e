#include "opaqueload.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"
#include "udpsocket.h"

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <map>

namespace CallerStandIn {

namespace {

constexpr std::chrono::milliseconds kResendAfter{ 300 };
/// A flow without an echo after this many resends is broken.
constexpr int kMaxResends = 20;
/// First byte of an opening packet and of the others, as in RFC 8999.
constexpr char kOpening = '\xC0';
constexpr char kMidFlow = '\x40';

} // namespace

class OpaqueLoad::Flow
{
public:
  Flow(boost::asio::io_context& aContext, const OpaqueLoadSettings& aSettings, uint32_t aNumber)
    : mSettings(aSettings)
    , mNumber(aNumber)
    , mSocket(aContext, aSettings.mIngress, [this](absl::string_view aEcho) { HandleEcho(aEcho); })
    , mTimer(aContext)
  {
  }

  void SendNext()
  {
    if (mStopped || mBroken) {
      return;
    }
    ++mSequence;
    mResends = 0;
    mWaiting = true;
    SendCurrent();
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
    const char mark = mUpstream.empty() ? kOpening : kMidFlow;
    return absl::StrCat(std::string(1, mark), "flow", mNumber, "-", mSequence);
  }

  void SendCurrent()
  {
    mSocket.Send(Payload());
    ArmTimer(kResendAfter);
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
    if (!mWaiting) {
      SendNext();
      return;
    }
    if (++mResends > kMaxResends) {
      mBroken = true;
      return;
    }
    SendCurrent();
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
      absl::StrContains(parts[0], absl::StrCat("flow", mNumber, "-", mSequence));
    if (!mWaiting || !isCurrent) {
      return;
    }
    ++mEchoes;
    mWaiting = false;
    ArmTimer(mSettings.mPacketInterval);
  }

  const OpaqueLoadSettings& mSettings;
  uint32_t mNumber;
  UdpSocket mSocket;
  boost::asio::steady_timer mTimer;
  uint64_t mSequence = 0;
  int mResends = 0;
  bool mWaiting = false;
  bool mStopped = false;
};

OpaqueLoad::OpaqueLoad(boost::asio::io_context& aContext, const OpaqueLoadSettings& aSettings)
  : mSettings(aSettings)
{
  for (uint32_t number = 0; number < aSettings.mFlows; ++number) {
    mFlows.push_back(std::make_unique<Flow>(aContext, mSettings, number));
  }
}

OpaqueLoad::~OpaqueLoad() = default;

void
OpaqueLoad::Start()
{
  for (const auto& flow : mFlows) {
    flow->SendNext();
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
  std::map<std::string, uint64_t> perUpstream;
  for (const auto& flow : mFlows) {
    broken += flow->mBroken ? 1 : 0;
    misdelivered += flow->mMisdelivered;
    echoes += flow->mEchoes;
    ++perUpstream[flow->mUpstream];
  }
  aResult["flows"] = mFlows.size();
  aResult["broken_flows"] = broken;
  aResult["misdelivered_packets"] = misdelivered;
  aResult["echoes"] = echoes;
  aResult["flows_per_upstream"] = perUpstream;
}

} // namespace CallerStandIn

#pragma once

#include "absl/strings/string_view.h"
#include "wire/proxyheader.h"

#include "upstream.pb.h"

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <atomic>
#include <chrono>
#include <fstream>
#include <functional>
#include <string>

namespace UpstreamStandIn {

struct ResponderSettings
{
  Base::Endpoint mListen;
  std::string mName;
  std::string mService;
  bool mIsRequestService = false;
  uint32_t mSlots = 1;
  std::chrono::milliseconds mServiceTime{ 5 };
  /// File to which the body of each accepted request is appended as one line.
  std::string mRecordPath;
  uint32_t mPiecesPerAnswer = 3;
};

/// How long after the start of its drain an upstream may still receive new work.
constexpr std::chrono::seconds kDrainGracePeriod{ 3 };

/// Handles the datagrams of the upstream. Echoes packets of an opaque service; runs requests of a
/// request service and sheds those that exceed its slots.
class Responder
{
public:
  Responder(boost::asio::io_context& aContext, const ResponderSettings& aSettings);

  void Start();

  uint32_t RunningRequests() const { return mRunningRequests; }

  /// Marks the start of the drain, after which new work is checked against kDrainGracePeriod.
  void BeginDrain();

  /// Number of requests and opening packets of opaque flows that arrived more than
  /// kDrainGracePeriod after the start of the drain.
  uint64_t LateWork() const { return mLateWork; }

private:
  void Receive();
  void HandleDatagram(absl::string_view aDatagram);
  void CountLateWork();
  void HandleWork(const Wire::ProxyAddresses& aAddresses, const lw::upstream::Work& aWork);
  void SendAnswer(const Wire::ProxyAddresses& aAddresses,
                  const boost::asio::ip::udp::endpoint& aTo,
                  const lw::upstream::Work& aWork);
  void SendDatagram(const Wire::ProxyAddresses& aAddresses,
                    const boost::asio::ip::udp::endpoint& aTo,
                    absl::string_view aPayload);

  boost::asio::io_context& mContext;
  ResponderSettings mSettings;
  boost::asio::ip::udp::socket mSocket;
  boost::asio::ip::udp::endpoint mSender;
  std::array<char, 65536> mBuffer{};
  std::ofstream mRecord;
  std::atomic<uint32_t> mRunningRequests{ 0 };
  std::atomic<bool> mDraining{ false };
  std::atomic<std::chrono::steady_clock::time_point> mDrainStart{};
  std::atomic<uint64_t> mLateWork{ 0 };
};

} // namespace UpstreamStandIn

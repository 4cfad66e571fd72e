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
  /// Each run is written here as one line with the request's body.
  std::string mRecordPath;
  uint32_t mPieces = 3;
};

/// Time in which a draining upstream may still get new work.
constexpr std::chrono::seconds kDrainNotice{ 3 };

/// Answers packets: echoes them for opaque services, runs work for request services and sheds what
/// exceeds its slots.
class Responder
{
public:
  Responder(boost::asio::io_context& aContext, const ResponderSettings& aSettings);

  void Start();

  uint32_t Running() const { return mRunning; }

  /// Tells that the upstream announced that it drains.
  void BeginDrain();

  /// New work that arrived more than kDrainNotice after the start of the drain: requests, and
  /// opening packets of opaque flows.
  uint64_t LateWork() const { return mLateWork; }

private:
  void Receive();
  void Handle(absl::string_view aDatagram);
  void CountLateWork();
  void HandleWork(const Wire::ProxyAddresses& aAddresses, const lw::upstream::Work& aWork);
  void Answer(const Wire::ProxyAddresses& aAddresses,
              const boost::asio::ip::udp::endpoint& aTo,
              const lw::upstream::Work& aWork);
  void Send(const Wire::ProxyAddresses& aAddresses,
            const boost::asio::ip::udp::endpoint& aTo,
            absl::string_view aPayload);

  boost::asio::io_context& mContext;
  ResponderSettings mSettings;
  boost::asio::ip::udp::socket mSocket;
  boost::asio::ip::udp::endpoint mFrom;
  std::array<char, 65536> mBuffer{};
  std::ofstream mRecord;
  std::atomic<uint32_t> mRunning{ 0 };
  std::atomic<bool> mDraining{ false };
  std::atomic<std::chrono::steady_clock::time_point> mDrainStart{};
  std::atomic<uint64_t> mLateWork{ 0 };
};

} // namespace UpstreamStandIn

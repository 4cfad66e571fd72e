#pragma once

#include "base/random.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <chrono>
#include <memory>
#include <string>

namespace FaultProxy {

/// Faults injected into one link. Changes apply to open connections as well.
struct LinkFaults
{
  /// While set, new connections are closed on accept and data is held back, as in a network
  /// partition that resets no connection.
  bool mIsPartitioned = false;
  std::chrono::milliseconds mDelay{ 0 };
  /// Probability, per chunk of data, that the connection is closed.
  double mResetProbability = 0;
  /// Probability, per chunk of data, of an extra delay below kMaxExtraDelayMs. It reorders data
  /// between connections.
  double mReorderProbability = 0;
};

/// Forwards one TCP connection in both directions and injects the faults of its link.
class Connection : public std::enable_shared_from_this<Connection>
{
public:
  Connection(boost::asio::io_context& aContext,
             boost::asio::ip::tcp::socket aCaller,
             const LinkFaults& aFaults,
             Base::RandomSource& aRandom);

  void Start(const boost::asio::ip::tcp::endpoint& aTarget);
  void Close();

private:
  struct Direction
  {
    boost::asio::ip::tcp::socket* mSource = nullptr;
    boost::asio::ip::tcp::socket* mDestination = nullptr;
    std::array<char, 16384> mBuffer{};
    size_t mLength = 0;
    std::unique_ptr<boost::asio::steady_timer> mTimer;
  };

  void Read(Direction& aDirection);
  void DelayWrite(Direction& aDirection);
  void Write(Direction& aDirection);

  boost::asio::io_context& mContext;
  boost::asio::ip::tcp::socket mCallerSocket;
  boost::asio::ip::tcp::socket mTargetSocket;
  const LinkFaults& mFaults;
  Base::RandomSource& mRandom;
  Direction mForward;
  Direction mBackward;
};

} // namespace FaultProxy

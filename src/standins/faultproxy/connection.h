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

/// Faults of one link; set by commands while connections are open.
struct LinkFaults
{
  /// A cut link refuses new connections and holds back all data, as a partition without resets
  /// does.
  bool mIsCut = false;
  std::chrono::milliseconds mDelay{ 0 };
  /// Chance that a chunk of data closes its connection.
  double mResetChance = 0;
  /// Chance that a chunk waits up to kMaxExtraDelay longer, so that connections overtake one
  /// another.
  double mReorderChance = 0;
};

/// Forwards one TCP connection in both directions under the faults of its link.
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
    boost::asio::ip::tcp::socket* mFrom = nullptr;
    boost::asio::ip::tcp::socket* mTo = nullptr;
    std::array<char, 16384> mBuffer{};
    size_t mLength = 0;
    std::unique_ptr<boost::asio::steady_timer> mTimer;
  };

  void Read(Direction& aDirection);
  void Hold(Direction& aDirection);
  void Write(Direction& aDirection);

  boost::asio::io_context& mContext;
  boost::asio::ip::tcp::socket mCaller;
  boost::asio::ip::tcp::socket mTarget;
  const LinkFaults& mFaults;
  Base::RandomSource& mRandom;
  Direction mForward;
  Direction mBack;
};

} // namespace FaultProxy

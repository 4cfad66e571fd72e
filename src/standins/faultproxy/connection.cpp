#include "connection.h"

#include <boost/asio/write.hpp>

#include <utility>

namespace FaultProxy {

namespace {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;

constexpr milliseconds kPartitionPollInterval{ 20 };
constexpr uint64_t kMaxExtraDelayMs = 200;

} // namespace

Connection::Connection(boost::asio::io_context& aContext,
                       tcp::socket aCaller,
                       const LinkFaults& aFaults,
                       Base::RandomSource& aRandom)
  : mContext(aContext)
  , mCallerSocket(std::move(aCaller))
  , mTargetSocket(aContext)
  , mFaults(aFaults)
  , mRandom(aRandom)
{
  mForward.mSource = &mCallerSocket;
  mForward.mDestination = &mTargetSocket;
  mBackward.mSource = &mTargetSocket;
  mBackward.mDestination = &mCallerSocket;
  for (Direction* direction : { &mForward, &mBackward }) {
    direction->mTimer = std::make_unique<boost::asio::steady_timer>(mContext);
  }
}

void
Connection::Start(const tcp::endpoint& aTarget)
{
  mTargetSocket.async_connect(aTarget,
                              [self = shared_from_this()](const boost::system::error_code& aError) {
                                if (aError) {
                                  self->Close();
                                  return;
                                }
                                self->Read(self->mForward);
                                self->Read(self->mBackward);
                              });
}

void
Connection::Close()
{
  boost::system::error_code ignored;
  mCallerSocket.close(ignored);
  mTargetSocket.close(ignored);
}

void
Connection::Read(Direction& aDirection)
{
  aDirection.mSource->async_read_some(
    boost::asio::buffer(aDirection.mBuffer),
    [self = shared_from_this(), &aDirection](const boost::system::error_code& aError,
                                             size_t aLength) {
      if (aError || Base::NextUnit(self->mRandom) < self->mFaults.mResetProbability) {
        self->Close();
        return;
      }
      aDirection.mLength = aLength;
      self->DelayWrite(aDirection);
    });
}

void
Connection::DelayWrite(Direction& aDirection)
{
  milliseconds delay = mFaults.mIsPartitioned ? kPartitionPollInterval : mFaults.mDelay;
  if (!mFaults.mIsPartitioned && Base::NextUnit(mRandom) < mFaults.mReorderProbability) {
    delay += milliseconds(Base::NextBelow(mRandom, kMaxExtraDelayMs));
  }
  aDirection.mTimer->expires_after(delay);
  aDirection.mTimer->async_wait(
    [self = shared_from_this(), &aDirection](const boost::system::error_code& aError) {
      if (aError) {
        return;
      }
      if (self->mFaults.mIsPartitioned) {
        self->DelayWrite(aDirection);
      } else {
        self->Write(aDirection);
      }
    });
}

void
Connection::Write(Direction& aDirection)
{
  boost::asio::async_write(*aDirection.mDestination,
                           boost::asio::buffer(aDirection.mBuffer, aDirection.mLength),
                           [self = shared_from_this(), &aDirection](
                             const boost::system::error_code& aError, size_t /*aLength*/) {
                             if (aError) {
                               self->Close();
                               return;
                             }
                             self->Read(aDirection);
                           });
}

} // namespace FaultProxy

#include "connection.h"

#include <boost/asio/write.hpp>

#include <utility>

namespace FaultProxy {

namespace {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;

constexpr milliseconds kCutPoll{ 20 };
constexpr uint64_t kMaxExtraDelayMs = 200;

} // namespace

Connection::Connection(boost::asio::io_context& aContext,
                       tcp::socket aCaller,
                       const LinkFaults& aFaults,
                       Base::RandomSource& aRandom)
  : mContext(aContext)
  , mCaller(std::move(aCaller))
  , mTarget(aContext)
  , mFaults(aFaults)
  , mRandom(aRandom)
{
  mForward.mFrom = &mCaller;
  mForward.mTo = &mTarget;
  mBack.mFrom = &mTarget;
  mBack.mTo = &mCaller;
  for (Direction* direction : { &mForward, &mBack }) {
    direction->mTimer = std::make_unique<boost::asio::steady_timer>(mContext);
  }
}

void
Connection::Start(const tcp::endpoint& aTarget)
{
  mTarget.async_connect(aTarget,
                        [self = shared_from_this()](const boost::system::error_code& aError) {
                          if (aError) {
                            self->Close();
                            return;
                          }
                          self->Read(self->mForward);
                          self->Read(self->mBack);
                        });
}

void
Connection::Close()
{
  boost::system::error_code ignored;
  mCaller.close(ignored);
  mTarget.close(ignored);
}

void
Connection::Read(Direction& aDirection)
{
  aDirection.mFrom->async_read_some(
    boost::asio::buffer(aDirection.mBuffer),
    [self = shared_from_this(), &aDirection](const boost::system::error_code& aError,
                                             size_t aLength) {
      if (aError || Base::NextUnit(self->mRandom) < self->mFaults.mResetChance) {
        self->Close();
        return;
      }
      aDirection.mLength = aLength;
      self->Hold(aDirection);
    });
}

void
Connection::Hold(Direction& aDirection)
{
  milliseconds delay = mFaults.mIsCut ? kCutPoll : mFaults.mDelay;
  if (!mFaults.mIsCut && Base::NextUnit(mRandom) < mFaults.mReorderChance) {
    delay += milliseconds(Base::NextBelow(mRandom, kMaxExtraDelayMs));
  }
  aDirection.mTimer->expires_after(delay);
  aDirection.mTimer->async_wait(
    [self = shared_from_this(), &aDirection](const boost::system::error_code& aError) {
      if (aError) {
        return;
      }
      if (self->mFaults.mIsCut) {
        self->Hold(aDirection);
      } else {
        self->Write(aDirection);
      }
    });
}

void
Connection::Write(Direction& aDirection)
{
  boost::asio::async_write(*aDirection.mTo,
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

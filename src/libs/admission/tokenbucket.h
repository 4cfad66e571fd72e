#pragma once

#include "base/runtimeclock.h"

namespace Admission {

/// Token bucket in seconds of slot time. It starts full and may go below zero, because the true
/// cost of work is known only when it ends. Owned by the dispatcher of one upstream; fixed size;
/// full again at a new dispatcher.
struct TokenBucket
{
  double mTokens = 0;
  /// Most tokens that the bucket held room for at the last refill.
  double mDepth = 0;
  Base::TimePoint mFilledAt;
  bool mStarted = false;
};

/// \param aRate in seconds of slot time per second.
/// \param aDepth in seconds of slot time.
void
Refill(TokenBucket& aBucket, double aRate, double aDepth, Base::TimePoint aNow);

} // namespace Admission

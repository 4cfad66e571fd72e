#pragma once

#include "base/runtimeclock.h"

namespace Admission {

/// Token bucket in seconds of slot time. It starts full and can become negative, because the actual
/// cost of work is known only when it finishes. Held by the dispatcher of the upstream; a new
/// dispatcher starts with a full bucket.
struct TokenBucket
{
  double mTokens = 0;
  /// Capacity of the bucket at the last refill.
  double mDepth = 0;
  Base::TimePoint mFilledAt;
  bool mStarted = false;
};

/// \param aRate is the refill rate in seconds of slot time per second.
/// \param aDepth is the capacity in seconds of slot time.
void
Refill(TokenBucket& aBucket, double aRate, double aDepth, Base::TimePoint aNow);

} // namespace Admission

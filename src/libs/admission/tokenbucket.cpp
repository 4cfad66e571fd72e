#include "admission/tokenbucket.h"

#include <algorithm>

namespace Admission {

void
Refill(TokenBucket& aBucket, double aRate, double aDepth, Base::TimePoint aNow)
{
  aBucket.mDepth = aDepth;
  if (!aBucket.mStarted) {
    aBucket.mStarted = true;
    aBucket.mTokens = aDepth;
    aBucket.mFilledAt = aNow;
    return;
  }
  const double elapsed = std::chrono::duration<double>(aNow - aBucket.mFilledAt).count();
  aBucket.mTokens = std::min(aDepth, aBucket.mTokens + aRate * std::max(0.0, elapsed));
  aBucket.mFilledAt = aNow;
}

} // namespace Admission

#include "admission/starvation.h"

#include <algorithm>

namespace Admission {

namespace {

// One seventh of the slot time. At half of it, work of 2 s on 3 slots could not be served every 5
// s.
constexpr int kIntervalFactor = 7;

} // namespace

bool
IsStarvationTurn(const StarvationTurn& aTurn, Base::TimePoint aWaitingSince, Base::TimePoint aNow)
{
  return aNow >= aTurn.mNext && aNow - aWaitingSince >= kStarvationBound;
}

Base::Duration
StarvationInterval(Base::Duration aMean, size_t aLimit)
{
  const auto limit = static_cast<int64_t>(std::max<size_t>(1, aLimit));
  return std::max(kStarvationBound, aMean * kIntervalFactor / limit);
}

} // namespace Admission

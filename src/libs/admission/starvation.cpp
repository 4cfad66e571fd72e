#include "admission/starvation.h"

#include <algorithm>

namespace Admission {

namespace {

// Limits starving work to one seventh of the slot time. With half of that, work of 2 s on 3 slots
// could not be served every 5 s.
constexpr int kIntervalFactor = 7;

} // namespace

bool
IsStarvationServiceDue(const StarvationState& aState,
                       Base::TimePoint aWaitingSince,
                       Base::TimePoint aNow)
{
  return aNow >= aState.mNext && aNow - aWaitingSince >= kStarvationBound;
}

Base::Duration
StarvationInterval(Base::Duration aMean, size_t aLimit)
{
  const auto limit = static_cast<int64_t>(std::max<size_t>(1, aLimit));
  return std::max(kStarvationBound, aMean * kIntervalFactor / limit);
}

} // namespace Admission

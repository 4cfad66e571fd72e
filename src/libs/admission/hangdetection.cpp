#include "admission/hangdetection.h"

#include <algorithm>

namespace Admission {

namespace {

constexpr Base::Duration kProbeInterval = std::chrono::seconds(1);

} // namespace

void
CheckForHang(HangState& aState,
             Base::TimePoint aOldestStart,
             Base::Duration aTimeout,
             Base::TimePoint aNow)
{
  if (!aState.mHung && aNow - std::max(aOldestStart, aState.mLastAnswer) > aTimeout) {
    aState.mHung = true;
    aState.mLastProbe = aNow;
  }
}

void
OnUpstreamResponse(HangState& aState, Base::TimePoint aNow)
{
  aState.mHung = false;
  aState.mLastAnswer = aNow;
}

bool
IsProbeDue(const HangState& aState, Base::TimePoint aNow)
{
  return aState.mHung && aNow - aState.mLastProbe >= kProbeInterval;
}

} // namespace Admission

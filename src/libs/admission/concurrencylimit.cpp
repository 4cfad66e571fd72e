#include "admission/concurrencylimit.h"

#include <algorithm>

namespace Admission {

namespace {

using std::chrono::seconds;

constexpr Base::Duration kReportLifetime = seconds(3);
constexpr Base::Duration kSlowStart = seconds(10);
constexpr Base::Duration kIncreasePause = seconds(5);
// All work that an overload hits fails at nearly the same time and counts as one event.
constexpr Base::Duration kDecreaseSpacing = std::chrono::milliseconds(100);
constexpr double kDecreaseFactor = 0.7;
constexpr uint32_t kWindowAnswers = 32;
// Timeouts in one window that count as overload, about 1 in 10.
constexpr uint32_t kOverloadTimeouts = 3;
// Above the noise of a mean over one window, below the growth of 4 items on 3 slots.
constexpr double kGrownRatio = 1.25;
// Bound of what an upstream without reports can reach.
constexpr double kMaxLimit = 256;

bool
IsReportFresh(const ConcurrencyLimit& aLimit, Base::TimePoint aNow)
{
  return aLimit.mReportedSlots > 0 && aNow - aLimit.mReportedAt < kReportLifetime;
}

double
ReportTrust(const ConcurrencyLimit& aLimit, Base::TimePoint aNow)
{
  if (!IsReportFresh(aLimit, aNow)) {
    return 0;
  }
  const std::chrono::duration<double> age = aNow - aLimit.mReportedAt;
  return 1 - age / std::chrono::duration<double>(kReportLifetime);
}

void
Decrease(ConcurrencyLimit& aLimit, double aTo, Base::TimePoint aNow)
{
  aLimit.mLearned = std::max(1.0, aTo);
  aLimit.mDecreasedAt = aNow;
}

void
CloseWindow(ConcurrencyLimit& aLimit, Base::TimePoint aNow)
{
  aLimit.mLatencyGrown = aLimit.mWindowRatioSum / kWindowAnswers > kGrownRatio;
  if (aLimit.mLatencyGrown) {
    // Under a fresh report the slots are known, and slow answers are slow work, not a queue.
    if (!IsReportFresh(aLimit, aNow)) {
      Decrease(aLimit, aLimit.mLearned - 1, aNow);
    }
  } else if (aLimit.mWindowLimited && aNow - aLimit.mDecreasedAt >= kIncreasePause) {
    const double cap = IsReportFresh(aLimit, aNow) ? aLimit.mReportedSlots : kMaxLimit;
    aLimit.mLearned = std::min(std::max(cap, 1.0), aLimit.mLearned + 1);
  }
  aLimit.mWindowAnswers = 0;
  aLimit.mWindowTimeouts = 0;
  aLimit.mWindowRatioSum = 0;
  aLimit.mWindowLimited = false;
}

} // namespace

void
ApplyReport(ConcurrencyLimit& aLimit,
            uint32_t aSlots,
            uint32_t aLoad,
            uint32_t aRunning,
            Base::TimePoint aNow)
{
  const uint32_t slots = std::max<uint32_t>(1, aSlots);
  if (aLimit.mReportedSlots == 0) {
    aLimit.mLearned = slots;
    // An upstream that works already was warmed up under its previous dispatcher.
    aLimit.mRamping = aLoad == 0;
    aLimit.mRampStart = aNow;
  } else if (slots != aLimit.mReportedSlots && aLimit.mLearned >= aLimit.mReportedSlots) {
    aLimit.mLearned = slots;
  }
  const uint32_t own = std::max(aRunning, aLimit.mPeakRunning);
  // A wrong load must not close the upstream, so it takes at most half of the slots.
  aLimit.mForeignLoad = std::min(aLoad > own ? aLoad - own : 0, slots / 2);
  aLimit.mPeakRunning = aRunning;
  aLimit.mReportedSlots = slots;
  aLimit.mReportedAt = aNow;
}

void
OnAnswer(ConcurrencyLimit& aLimit, double aLatencyRatio, Base::TimePoint aNow)
{
  ++aLimit.mWindowAnswers;
  aLimit.mWindowRatioSum += aLatencyRatio;
  if (aLimit.mWindowAnswers >= kWindowAnswers) {
    CloseWindow(aLimit, aNow);
  }
}

void
OnTimeout(ConcurrencyLimit& aLimit, Base::TimePoint aNow)
{
  ++aLimit.mWindowTimeouts;
  if (aLimit.mWindowTimeouts >= kOverloadTimeouts) {
    aLimit.mWindowTimeouts = 0;
    OnOverload(aLimit, aNow);
  }
}

void
OnOverload(ConcurrencyLimit& aLimit, Base::TimePoint aNow)
{
  if (aNow - aLimit.mDecreasedAt >= kDecreaseSpacing) {
    Decrease(aLimit, aLimit.mLearned * kDecreaseFactor, aNow);
  }
}

uint32_t
EffectiveLimit(const ConcurrencyLimit& aLimit, Base::TimePoint aNow)
{
  double limit = aLimit.mLearned;
  if (IsReportFresh(aLimit, aNow)) {
    limit = std::min<double>(limit, aLimit.mReportedSlots);
    limit -= ReportTrust(aLimit, aNow) * aLimit.mForeignLoad;
  }
  if (aLimit.mRamping && aNow - aLimit.mRampStart < kSlowStart) {
    const std::chrono::duration<double> age = aNow - aLimit.mRampStart;
    limit = std::min(limit, 1 + (limit - 1) * (age / std::chrono::duration<double>(kSlowStart)));
  }
  return static_cast<uint32_t>(std::max(1.0, limit));
}

} // namespace Admission

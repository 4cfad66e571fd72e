#include "admission/concurrencylimit.h"

#include <algorithm>

namespace Admission {

namespace {

using std::chrono::seconds;

constexpr Base::Duration kReportLifetime = seconds(3);
constexpr Base::Duration kSlowStart = seconds(10);
constexpr Base::Duration kIncreaseDelay = seconds(5);
// An overload makes several items fail almost simultaneously; they count as one event.
constexpr Base::Duration kMinDecreaseInterval = std::chrono::milliseconds(100);
constexpr double kDecreaseFactor = 0.7;
constexpr uint32_t kWindowAnswers = 32;
// Number of timeouts in one window that indicates overload, about 1 in 10.
constexpr uint32_t kTimeoutsPerOverload = 3;
// Above the noise of the mean over one window, and below the latency increase caused by running 4
// items on 3 slots.
constexpr double kIncreasedLatencyRatio = 1.25;
// Maximum limit for an upstream that sends no reports.
constexpr double kMaxLimitWithoutReport = 256;

bool
IsReportFresh(const ConcurrencyLimit& aLimit, Base::TimePoint aNow)
{
  return aLimit.mReportedSlots > 0 && aNow - aLimit.mReportedAt < kReportLifetime;
}

double
ReportWeight(const ConcurrencyLimit& aLimit, Base::TimePoint aNow)
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
  aLimit.mEstimatedLimit = std::max(1.0, aTo);
  aLimit.mDecreasedAt = aNow;
}

void
CloseWindow(ConcurrencyLimit& aLimit, Base::TimePoint aNow)
{
  aLimit.mLatencyIncreased = aLimit.mWindowRatioSum / kWindowAnswers > kIncreasedLatencyRatio;
  if (aLimit.mLatencyIncreased) {
    // With a recent report the number of slots is known, so higher latency is caused by longer work
    // and not by queueing.
    if (!IsReportFresh(aLimit, aNow)) {
      Decrease(aLimit, aLimit.mEstimatedLimit - 1, aNow);
    }
  } else if (aLimit.mWindowLimited && aNow - aLimit.mDecreasedAt >= kIncreaseDelay) {
    const double cap = IsReportFresh(aLimit, aNow) ? aLimit.mReportedSlots : kMaxLimitWithoutReport;
    aLimit.mEstimatedLimit = std::min(std::max(cap, 1.0), aLimit.mEstimatedLimit + 1);
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
    aLimit.mEstimatedLimit = slots;
    // An upstream with load was already warmed up under its previous dispatcher.
    aLimit.mInSlowStart = aLoad == 0;
    aLimit.mSlowStartBegin = aNow;
  } else if (slots != aLimit.mReportedSlots && aLimit.mEstimatedLimit >= aLimit.mReportedSlots) {
    aLimit.mEstimatedLimit = slots;
  }
  const uint32_t own = std::max(aRunning, aLimit.mPeakRunning);
  // Limited to half of the slots, so that a wrong report cannot block the upstream.
  aLimit.mOtherLoad = std::min(aLoad > own ? aLoad - own : 0, slots / 2);
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
  if (aLimit.mWindowTimeouts >= kTimeoutsPerOverload) {
    aLimit.mWindowTimeouts = 0;
    OnOverload(aLimit, aNow);
  }
}

void
OnOverload(ConcurrencyLimit& aLimit, Base::TimePoint aNow)
{
  if (aNow - aLimit.mDecreasedAt >= kMinDecreaseInterval) {
    Decrease(aLimit, aLimit.mEstimatedLimit * kDecreaseFactor, aNow);
  }
}

uint32_t
EffectiveLimit(const ConcurrencyLimit& aLimit, Base::TimePoint aNow)
{
  double limit = aLimit.mEstimatedLimit;
  if (IsReportFresh(aLimit, aNow)) {
    limit = std::min<double>(limit, aLimit.mReportedSlots);
    limit -= ReportWeight(aLimit, aNow) * aLimit.mOtherLoad;
  }
  if (aLimit.mInSlowStart && aNow - aLimit.mSlowStartBegin < kSlowStart) {
    const std::chrono::duration<double> age = aNow - aLimit.mSlowStartBegin;
    limit = std::min(limit, 1 + (limit - 1) * (age / std::chrono::duration<double>(kSlowStart)));
  }
  return static_cast<uint32_t>(std::max(1.0, limit));
}

} // namespace Admission

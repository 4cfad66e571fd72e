#pragma once

#include "base/runtimeclock.h"

#include <cstdint>

namespace Admission {

/// Adaptive limit on the work that an upstream runs concurrently. Held by the dispatcher of the
/// upstream; a new dispatcher reinitializes it from the next report of the upstream.
struct ConcurrencyLimit
{
  /// Limit derived from answers and overload, before applying reports and slow start.
  double mEstimatedLimit = 1;
  uint32_t mReportedSlots = 0;
  /// Reported load that does not come from this dispatcher.
  uint32_t mOtherLoad = 0;
  Base::TimePoint mReportedAt;
  /// Maximum concurrent work of this dispatcher since the last report.
  uint32_t mPeakRunning = 0;
  bool mInSlowStart = false;
  Base::TimePoint mSlowStartBegin;
  uint32_t mWindowAnswers = 0;
  uint32_t mWindowTimeouts = 0;
  double mWindowRatioSum = 0;
  /// All slots were in use in the current window.
  bool mWindowLimited = false;
  bool mLatencyIncreased = false;
  Base::TimePoint mDecreasedAt;
};

/// Applies a load report. The first one begins a slow start if the upstream reports no load.
/// \param aRunning is the number of currently running items of this dispatcher.
void
ApplyReport(ConcurrencyLimit& aLimit,
            uint32_t aSlots,
            uint32_t aLoad,
            uint32_t aRunning,
            Base::TimePoint aNow);

/// Counts an answer.
/// \param aLatencyRatio is its latency divided by the baseline latency of its kind.
void
OnAnswer(ConcurrencyLimit& aLimit, double aLatencyRatio, Base::TimePoint aNow);

/// Counts work that reached its deadline after running much longer than usual. Several timeouts in
/// a window indicate overload; a single one may just be a long item.
void
OnTimeout(ConcurrencyLimit& aLimit, Base::TimePoint aNow);

/// Decreases the limit after the upstream shed work or several items timed out.
void
OnOverload(ConcurrencyLimit& aLimit, Base::TimePoint aNow);

/// \return the current limit on concurrent work; at least 1, so that the upstream is always probed.
uint32_t
EffectiveLimit(const ConcurrencyLimit& aLimit, Base::TimePoint aNow);

} // namespace Admission

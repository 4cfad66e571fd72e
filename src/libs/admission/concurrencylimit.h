#pragma once

#include "base/runtimeclock.h"

#include <cstdint>

namespace Admission {

/// How much work the dispatcher lets an upstream run at the same time. Owned by the upstream's
/// dispatcher; fixed size; a new dispatcher starts again from the upstream's next report.
struct ConcurrencyLimit
{
  /// What the upstream's answers allow, before reports and slow start.
  double mLearned = 1;
  uint32_t mReportedSlots = 0;
  /// Reported work that this dispatcher did not send.
  uint32_t mForeignLoad = 0;
  Base::TimePoint mReportedAt;
  /// Most work of this dispatcher that ran at once since the last report.
  uint32_t mPeakRunning = 0;
  bool mRamping = false;
  Base::TimePoint mRampStart;
  uint32_t mWindowAnswers = 0;
  uint32_t mWindowTimeouts = 0;
  double mWindowRatioSum = 0;
  /// The limit held work back in the present window.
  bool mWindowLimited = false;
  bool mLatencyGrown = false;
  Base::TimePoint mDecreasedAt;
};

/// Takes over a report. The first one starts the slow start if the upstream reports no load.
/// \param aRunning is the work of this dispatcher that runs now.
void
ApplyReport(ConcurrencyLimit& aLimit,
            uint32_t aSlots,
            uint32_t aLoad,
            uint32_t aRunning,
            Base::TimePoint aNow);

/// Counts an answer.
/// \param aLatencyRatio is its latency over the usual latency of its kind.
void
OnAnswer(ConcurrencyLimit& aLimit, double aLatencyRatio, Base::TimePoint aNow);

/// Counts work that took much longer than usual until its deadline. Several in a window are a sign
/// of overload; a single one may be a long item.
void
OnTimeout(ConcurrencyLimit& aLimit, Base::TimePoint aNow);

/// Decreases the limit, because the upstream shed work or did not keep up.
void
OnOverload(ConcurrencyLimit& aLimit, Base::TimePoint aNow);

/// \return work that may run at the same time now, at least 1 so that the upstream is probed.
uint32_t
EffectiveLimit(const ConcurrencyLimit& aLimit, Base::TimePoint aNow);

} // namespace Admission

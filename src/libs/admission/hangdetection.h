#pragma once

#include "base/runtimeclock.h"

namespace Admission {

/// Tracks whether an upstream has stopped answering. Held by the dispatcher of the upstream; a new
/// dispatcher detects a hang from its own work.
struct HangState
{
  bool mHung = false;
  Base::TimePoint mLastAnswer;
  Base::TimePoint mLastProbe;
};

/// Marks the upstream as hung if it has not responded within the timeout.
/// \param aOldestStart is the dispatch time of the oldest running work.
/// \param aTimeout is the time that the running work may take without any response.
void
CheckForHang(HangState& aState,
             Base::TimePoint aOldestStart,
             Base::Duration aTimeout,
             Base::TimePoint aNow);

/// Records that the upstream answered or shed work, which ends a hang.
void
OnUpstreamResponse(HangState& aState, Base::TimePoint aNow);

/// \return true if one item may be sent to a hung upstream to probe whether it has recovered.
bool
IsProbeDue(const HangState& aState, Base::TimePoint aNow);

} // namespace Admission

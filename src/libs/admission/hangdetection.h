#pragma once

#include "base/runtimeclock.h"

namespace Admission {

/// Whether an upstream has stopped answering. Owned by the upstream's dispatcher; fixed size; a new
/// dispatcher detects a hang again from its own work.
struct HangState
{
  bool mHung = false;
  Base::TimePoint mLastAnswer;
  Base::TimePoint mLastProbe;
};

/// Updates the state from the oldest running work.
/// \param aOldestStart when the oldest running work was dispatched.
/// \param aPatience how long the work that runs may take without any answer.
void
CheckForHang(HangState& aState,
             Base::TimePoint aOldestStart,
             Base::Duration aPatience,
             Base::TimePoint aNow);

/// Tells that the upstream answered or shed work.
void
OnSignOfLife(HangState& aState, Base::TimePoint aNow);

/// \return true if one item may be sent to a hung upstream to see whether it answers again.
bool
IsProbeDue(const HangState& aState, Base::TimePoint aNow);

} // namespace Admission

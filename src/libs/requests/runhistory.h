#pragma once

#include "requests/state.h"

namespace Requests::Internal {

/// Compares the view with the members at the previous call and records the runs that have left it.
/// \return true if a run was added or removed, so that succession notices should be repeated.
bool
UpdateRuns(RunHistory& aHistory, const Context& aContext);

/// \return true if a run that is not in the view is considered gone. A run that was never seen may
/// have just joined, so it is not considered gone until its announcement should have arrived.
bool
IsRunGone(RunHistory& aHistory, const Run& aRun, Base::TimePoint aNow);

} // namespace Requests::Internal

#pragma once

#include "requests/state.h"

namespace Requests::Internal {

/// Compares the view with the members at the last call and notes which runs have gone.
/// \return true if a run is new or gone, so that notices of successions should be repeated.
bool
UpdateRuns(RunHistory& aHistory, const Context& aContext);

/// Tells whether the tickets of a run that is not in the view should be answered with "gone". A run
/// that was never seen may have just joined, so it gets the time that its announcement needs.
bool
IsGone(RunHistory& aHistory, const Run& aRun, Base::TimePoint aNow);

} // namespace Requests::Internal

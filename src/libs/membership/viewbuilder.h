#pragma once

#include "membership/state.h"

namespace Membership {

/// \return a snapshot of the state for the rest of the program. Its leases end unless a later view
/// extends them, so build it several times per second.
View
BuildView(const State& aState, Base::TimePoint aNow);

} // namespace Membership

#pragma once

#include "membership/state.h"

namespace Membership {

/// \return what the instance knows, for the rest of the program. Leases in it end unless a later
/// view extends them, so it must be built again several times per second.
View
BuildView(const State& aState, Base::TimePoint aNow);

} // namespace Membership

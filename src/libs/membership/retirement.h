#pragma once

#include "membership/state.h"

namespace Membership {

/// Drops expired tombstones, surplus records of dead members, and orphans whose lease has ended.
void
PurgeRecords(State& aState, Base::TimePoint aNow);

/// Stores the newest announcement of an address whose claim has ended.
void
RetireAddress(State& aState, const Claim& aClaim, Base::TimePoint aNow);

} // namespace Membership

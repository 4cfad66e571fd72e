#pragma once

#include "membership/state.h"

namespace Membership {

/// Drops old tombstones, records that have long been dead, and orphans whose lease has ended.
void
PurgeRecords(State& aState, Base::TimePoint aNow);

/// Remembers the newest announcement of an address whose claim has ended.
void
RetireAddress(State& aState, const Claim& aClaim, Base::TimePoint aNow);

} // namespace Membership

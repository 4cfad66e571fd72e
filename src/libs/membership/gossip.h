#pragma once

#include "base/random.h"
#include "membership/state.h"

namespace Membership {

/// Sends the digest and recent changes to one member when it is due.
void
SendGossip(State& aState,
           const Settings& aSettings,
           Base::TimePoint aNow,
           Base::RandomSource& aRandom,
           Outbox& aOutbox);

/// Contacts seeds while joining, and now and then a silent member or seed, so that the sides of a
/// healed partition find each other.
void
SendContacts(State& aState,
             const Settings& aSettings,
             Base::TimePoint aNow,
             Base::RandomSource& aRandom,
             Outbox& aOutbox);

} // namespace Membership

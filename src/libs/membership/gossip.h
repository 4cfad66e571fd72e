#pragma once

#include "base/random.h"
#include "membership/state.h"

namespace Membership {

/// Sends the digest and recent changes to one member if the gossip interval has elapsed.
void
SendGossip(State& aState,
           const Settings& aSettings,
           Base::TimePoint aNow,
           Base::RandomSource& aRandom,
           Outbox& aOutbox);

/// Contacts seeds while joining. Afterwards contacts a dead member or an unknown seed periodically,
/// so that the sides of a partition find each other once it heals.
void
SendContacts(State& aState,
             const Settings& aSettings,
             Base::TimePoint aNow,
             Base::RandomSource& aRandom,
             Outbox& aOutbox);

} // namespace Membership

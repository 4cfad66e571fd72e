#pragma once

#include "base/random.h"
#include "membership/state.h"

namespace Membership {

/// Sends due probes, turns unanswered ones into indirect probes and then into suspicion, and
/// suspicion into death.
/// \return pings and requests for indirect pings; the caller adds the common fields.
Outbox
TickProbes(State& aState,
           const Settings& aSettings,
           Base::TimePoint aNow,
           Base::RandomSource& aRandom);

/// Answers a ping, passes on an indirect ping, and takes in an answer.
/// \param aSender must be in the ring.
/// \param aReply gets the answer to a ping.
/// \return messages to other members.
Outbox
HandleProbeFields(State& aState,
                  const Record& aSender,
                  const lw::membership::Message& aMessage,
                  Base::TimePoint aNow,
                  lw::membership::Message& aReply);

/// Takes in a rumor of suspicion or death. A rumor about the own instance is refuted by a higher
/// counter.
void
ApplyRumor(State& aState,
           const Settings& aSettings,
           const lw::membership::Rumor& aRumor,
           Base::TimePoint aNow);

/// \return the rumor about a member that is suspect or dead here.
lw::membership::Rumor
MakeRumor(const Record& aRecord, Base::TimePoint aNow);

/// Drops what was measured by waiting, after the process itself was stopped for a while. Otherwise
/// it would take its own pause for the silence of all others.
void
ForgiveOwnPause(State& aState, Base::Duration aPause, Base::TimePoint aNow);

} // namespace Membership

#pragma once

#include "base/random.h"
#include "membership/state.h"

namespace Membership {

/// Sends due probes. A probe without an answer is followed by indirect probes and then by a
/// suspicion. A suspicion that is not refuted in time declares the member dead.
/// \return pings and requests for indirect pings. The caller adds the common fields.
Outbox
TickProbes(State& aState,
           const Settings& aSettings,
           Base::TimePoint aNow,
           Base::RandomSource& aRandom);

/// Processes the ping, ping request and acknowledgment of a message.
/// \param aSender must be an active member.
/// \param aReply receives the acknowledgment of a ping.
/// \return messages to other members.
Outbox
HandleProbeFields(State& aState,
                  const Record& aSender,
                  const lw::membership::Message& aMessage,
                  Base::TimePoint aNow,
                  lw::membership::Message& aReply);

/// Applies a rumor of suspicion or death. Refutes a rumor about this instance with a higher
/// counter.
void
ApplyRumor(State& aState,
           const Settings& aSettings,
           const lw::membership::Rumor& aRumor,
           Base::TimePoint aNow);

/// \return the rumor about a member that is suspect or dead for this instance.
lw::membership::Rumor
MakeRumor(const Record& aRecord, Base::TimePoint aNow);

/// Drops pending probes and extends suspicions by aPause after this process was stopped for a
/// while. Otherwise it would attribute its own pause to the other members and declare them dead.
void
ResetTimeoutsAfterPause(State& aState, Base::Duration aPause, Base::TimePoint aNow);

} // namespace Membership

#pragma once

#include "base/random.h"
#include "membership/state.h"

namespace Membership {

/// Identity of an instance, from its settings and its start.
struct Identity
{
  Base::InstanceId mId;
  Base::Incarnation mIncarnation;
  Base::Endpoint mPeerEndpoint;
  std::string mRegion;
  std::string mAvailabilityZone;
};

/// \return the initial state of an instance. It joins through the seeds during the first calls of
/// Tick().
State
Start(const Identity& aIdentity, Base::TimePoint aNow, Base::RandomSource& aRandom);

/// Executes all due actions. Call this at least every 50 ms.
Outbox
Tick(State& aState, const Settings& aSettings, Base::TimePoint aNow, Base::RandomSource& aRandom);

/// Sender of a message, from its envelope.
struct Sender
{
  Base::InstanceId mId;
  Base::Incarnation mIncarnation;
  /// Source address of the datagram, for replies to an unknown sender.
  Base::Endpoint mEndpoint;
};

Outbox
HandleMessage(State& aState,
              const Settings& aSettings,
              const Sender& aSender,
              const lw::membership::Message& aMessage,
              Base::TimePoint aNow);

/// Starts a graceful leave: the instance hands over its work and refuses announcements.
/// \param aSuccessor accepts the tickets of this instance, or 0 if there is none.
void
BeginLeave(State& aState, Base::InstanceId aSuccessor);

/// Ends a graceful leave. Send the returned messages and stop; Tick() need not be called anymore.
Outbox
FinishLeave(State& aState, Base::TimePoint aNow, Base::RandomSource& aRandom);

/// Sets the configuration version in force on this instance, which is disseminated in the digests.
void
SetVersionInForce(State& aState, Base::ConfigVersion aVersion);

/// \return the highest known configuration version in force on any member.
Base::ConfigVersion
NewestVersion(const State& aState);

} // namespace Membership

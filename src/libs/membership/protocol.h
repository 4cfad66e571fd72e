#pragma once

#include "base/random.h"
#include "membership/state.h"

namespace Membership {

/// Who an instance is, from its settings and its start.
struct Identity
{
  Base::InstanceId mId;
  Base::Incarnation mIncarnation;
  Base::Endpoint mPeerEndpoint;
  std::string mRegion;
  std::string mAvailabilityZone;
};

/// \return the state of an instance that knows nothing yet. It joins through the seeds with the
/// first ticks.
State
Start(const Identity& aIdentity, Base::TimePoint aNow, Base::RandomSource& aRandom);

/// Runs what is due. Call it every 50 ms or more often.
Outbox
Tick(State& aState, const Settings& aSettings, Base::TimePoint aNow, Base::RandomSource& aRandom);

/// Sender of a message as its envelope tells.
struct Sender
{
  Base::InstanceId mId;
  Base::Incarnation mIncarnation;
  /// Address of the datagram, for answers to an unknown sender.
  Base::Endpoint mEndpoint;
};

Outbox
HandleMessage(State& aState,
              const Settings& aSettings,
              const Sender& aSender,
              const lw::membership::Message& aMessage,
              Base::TimePoint aNow);

/// Starts a graceful leave: the instance hands its work over and takes no announcements.
/// \param aSuccessor accepts the tickets of this instance; 0 if there is none.
void
BeginLeave(State& aState, Base::InstanceId aSuccessor);

/// Ends a graceful leave. Send the messages and stop; no tick is needed afterwards.
Outbox
FinishLeave(State& aState, Base::TimePoint aNow, Base::RandomSource& aRandom);

/// Tells the configuration version in force at this instance; it spreads with the digests.
void
SetVersionInForce(State& aState, Base::ConfigVersion aVersion);

/// \return the highest configuration version in force that is known of any member.
Base::ConfigVersion
NewestVersion(const State& aState);

} // namespace Membership

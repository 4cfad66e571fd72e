#pragma once

#include "steering/steering.h"

namespace Steering::Internal {

Decision
Refuse(Action aAction, Reason aReason);

Decision
ForwardTo(const State& aState,
          const Directory::MergedUpstream& aUpstream,
          Reason aReason,
          Base::TimePoint aNow);

/// Records the missing answer to the latest opening packet, once, against the upstream and, if it
/// is remote, against its availability zone. The flow counts as load again when it is confirmed.
void
RecordUnansweredOpening(State& aState, Flow& aFlow, Base::TimePoint aNow);

/// \return true if the directory contains every upstream that is alive: every connected control
/// instance has sent its whole directory, and every upstream has had the time to renew its
/// announcement since the first reply.
bool
IsDirectoryComplete(const State& aState, const Settings& aSettings, Base::TimePoint aNow);

/// Holds a packet that can't be decided yet. Drops it if that is not possible.
Decision
HoldUndecided(State& aState,
              const Settings& aSettings,
              const Packet& aPacket,
              Reason aReason,
              Base::TimePoint aNow);

/// Assigns a new flow to an upstream, or one whose earlier opening packet was not answered.
Decision
SteerOpening(State& aState, const Settings& aSettings, const Packet& aPacket, Base::TimePoint aNow);

} // namespace Steering::Internal

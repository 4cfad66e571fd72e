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

/// Assigns a new flow to an upstream, or one whose earlier opening packet was not answered.
Decision
SteerOpening(State& aState, const Settings& aSettings, const Packet& aPacket, Base::TimePoint aNow);

} // namespace Steering::Internal

#pragma once

#include "steering/choice.h"
#include "steering/openingqueue.h"
#include "steering/steering.h"

#include <optional>

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

/// Decision on an opening packet that has a route, and what to record if it is carried out.
struct OpeningOutcome
{
  Decision mDecision;
  Choice mChoice;
  /// Goes into the queue of the service if the packet waits for room.
  HeldOpening mOpening;
};

/// The same for the opening packet of a flow without a record. If IsHeldEarly is true for the
/// decision, the flow is not recorded.
struct NewFlowOutcome
{
  Flow mFlow;
  OpeningOutcome mOpening;
};

/// Decides on an opening packet of the flow. Does not change the state.
OpeningOutcome
DecideOpening(const State& aState,
              const Settings& aSettings,
              const Flow& aFlow,
              const Packet& aPacket,
              Reason aReason,
              Base::TimePoint aNow,
              Base::RandomSource& aRandom);

/// \return the decision on the opening packet of a new flow to an address without a route, or
/// std::nullopt if there is a route.
std::optional<Decision>
DecideWithoutRoute(const State& aState,
                   const Settings& aSettings,
                   const Base::Endpoint& aService,
                   Base::TimePoint aNow);

/// Decides on the opening packet of a new flow. Does not change the state. There must be a route.
NewFlowOutcome
DecideNewFlow(const State& aState,
              const Settings& aSettings,
              const Packet& aPacket,
              Base::TimePoint aNow,
              Base::RandomSource& aRandom);

/// \return the tag of the upstream that a packet of an open flow goes to: that of the flow's
/// record, pin or cache entry, in this order, or else the packet's own one.
Directory::RouteTag
CurrentTag(const State& aState, const Packet& aPacket);

/// Assigns a new flow to an upstream, or one whose earlier opening packet was not answered.
Decision
SteerOpening(State& aState, const Settings& aSettings, const Packet& aPacket, Base::TimePoint aNow);

} // namespace Steering::Internal

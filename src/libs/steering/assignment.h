#pragma once

#include "steering/choice.h"
#include "steering/steering.h"

namespace Steering::Internal {

/// Chooses an upstream for a flow with the present state of this instance.
/// \param aIsLate is true if the flow can't meet its latency objective any more.
Choice
ChooseFor(State& aState,
          const Settings& aSettings,
          const Flow& aFlow,
          bool aIsLate,
          Base::TimePoint aNow);

/// \return the action for a flow that can't be served. A flow that was forwarded before may just
/// have been opened, so only the others are reset.
Action
ActionForUnserved(const Flow& aFlow);

/// Assigns the flow to the chosen upstream, if there is one.
Decision
Assign(State& aState,
       const Settings& aSettings,
       Flow& aFlow,
       const Choice& aChoice,
       Reason aReason,
       Base::TimePoint aNow);

} // namespace Steering::Internal

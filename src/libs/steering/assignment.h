#pragma once

#include "steering/choice.h"
#include "steering/steering.h"

namespace Steering::Internal {

/// \return the input for the choice of an upstream for the flow. It refers to the arguments.
/// \param aIsLate is true if the flow can't meet its latency objective any more.
ChoiceInput
MakeChoiceInput(const State& aState,
                const Settings& aSettings,
                const Flow& aFlow,
                bool aIsLate,
                Base::TimePoint aNow);

/// Chooses an upstream for a flow with the present state of this instance. Before an assignment,
/// call ForgetSilentFlows, so that the loads are up to date.
Choice
ChooseFor(const State& aState,
          const Settings& aSettings,
          const Flow& aFlow,
          bool aIsLate,
          Base::TimePoint aNow,
          Base::RandomSource& aRandom);

/// \return the action for a flow that can't be served. A flow that was forwarded before may just
/// have been opened, so only the others are reset.
Action
ActionForUnserved(const Flow& aFlow);

/// \return the decision on the flow's opening packet that follows from the choice.
Decision
DecideAssignment(const State& aState,
                 const Settings& aSettings,
                 const Flow& aFlow,
                 const Choice& aChoice,
                 Reason aReason,
                 Base::TimePoint aNow);

/// Updates the state for a flow whose opening packet is forwarded to the upstream.
void
ApplyAssignment(State& aState,
                const Settings& aSettings,
                Flow& aFlow,
                const Directory::MergedUpstream& aUpstream,
                Base::TimePoint aNow);

/// Assigns the flow to the chosen upstream, if there is one.
Decision
Assign(State& aState,
       const Settings& aSettings,
       Flow& aFlow,
       const Choice& aChoice,
       Reason aReason,
       Base::TimePoint aNow);

} // namespace Steering::Internal

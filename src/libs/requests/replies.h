#pragma once

#include "requests/effects.h"

#include "caller.pb.h"

#include <string>
#include <vector>

namespace Requests::Internal {

/// Appends the refusal of a request and counts its reason.
void
Refuse(Effects& aEffects,
       const FlowAddresses& aAddresses,
       Base::FlowNumber aFlow,
       Base::RequestNumber aNumber,
       lw::caller::Outcome aOutcome,
       Event aReason);

/// Appends the refusal of an OpenFlow and counts its reason.
void
RefuseOpen(Effects& aEffects, const FlowAddresses& aAddresses, uint64_t aOpenId, Event aReason);

/// Appends all pieces of an answer.
void
SendAnswer(Effects& aEffects,
           const FlowAddresses& aAddresses,
           Base::FlowNumber aFlow,
           Base::RequestNumber aNumber,
           const std::vector<std::string>& aPieces);

inline void
CountEvent(Effects& aEffects, Event aEvent)
{
  aEffects.mEvents.push_back(aEvent);
}

} // namespace Requests::Internal

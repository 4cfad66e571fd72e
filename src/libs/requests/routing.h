#pragma once

#include "requests/attempts.h"
#include "requests/messages.h"

#include <cstdint>

namespace Requests::Internal {

/// Selects another alive member by rendezvous hash, if possible of the own availability zone.
/// \param aExcept is not selected.
/// \return the member, or nullptr if there is none.
const Membership::Member*
SelectOther(const Work& aWork, uint64_t aKey, Base::InstanceId aExcept = Base::InstanceId());

/// Handles an OpenFlow: passes it to the dispatcher of the upstream, or opens the flow here.
/// \param aHops is the number of instances that have forwarded it.
void
RouteOpen(Work& aWork,
          const CallerMessage& aMessage,
          const Base::Endpoint& aUpstream,
          uint32_t aHops);

/// Handles a Request or Cancel: as owner, by forwarding it to the owner or its successor, or with
/// an answer that says nothing about whether the request ran.
void
RouteTicketed(Work& aWork, const CallerMessage& aMessage, uint32_t aHops);

} // namespace Requests::Internal

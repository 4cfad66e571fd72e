#pragma once

#include "requests/attempts.h"
#include "requests/messages.h"

#include <cstdint>

namespace Requests::Internal {

/// Selects another alive member by rendezvous hashing, preferably in the local availability zone.
/// \param aExcluded is never selected.
/// \return the member, or nullptr if there is none.
const Membership::Member*
SelectOtherMember(const HandlerContext& aHandler,
                  uint64_t aKey,
                  Base::InstanceId aExcluded = Base::InstanceId());

/// Handles an OpenFlow: forwards it to the dispatcher of the upstream, or opens the flow locally.
/// \param aHops is the number of instances that have already forwarded it.
void
RouteOpen(HandlerContext& aHandler,
          const CallerMessage& aMessage,
          const Base::Endpoint& aUpstream,
          uint32_t aHops);

/// Handles a Request or Cancel. The owner of the flow processes it; other instances forward it to
/// the owner or its successor. If there is neither, the reply leaves open whether the request ran.
void
RouteByTicket(HandlerContext& aHandler, const CallerMessage& aMessage, uint32_t aHops);

} // namespace Requests::Internal

#pragma once

#include "requests/attempts.h"

#include "upstream.pb.h"

namespace Requests::Internal {

/// Handles a packet of an upstream, which is matched to an attempt by work id and sender.
void
HandleFromUpstream(HandlerContext& aHandler,
                   const Base::Endpoint& aSender,
                   const lw::upstream::FromUpstream& aPacket);

/// Completes requests whose deadline has passed, starts due retries, passes load reports to the
/// schedulers and removes expired answers and idle flows.
void
TickCalls(HandlerContext& aHandler);

} // namespace Requests::Internal

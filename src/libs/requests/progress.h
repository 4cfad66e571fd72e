#pragma once

#include "requests/attempts.h"

#include "upstream.pb.h"

namespace Requests::Internal {

/// Matches a packet of an upstream with the attempt that it answers, by work id and sender.
void
HandleFromUpstream(Work& aWork,
                   const Base::Endpoint& aSender,
                   const lw::upstream::FromUpstream& aPacket);

/// Ends requests whose time is over, starts retries that are due, passes reports of upstreams to
/// the schedulers and drops what has expired.
void
TickCalls(Work& aWork);

} // namespace Requests::Internal

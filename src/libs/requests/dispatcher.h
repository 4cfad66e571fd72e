#pragma once

#include "requests/effects.h"
#include "requests/messages.h"
#include "requests/state.h"

#include "upstream.pb.h"

#include <optional>

namespace Requests {

/// Handles a packet that a caller sent to this instance.
/// \param aUpstream is the upstream selected for an OpenFlow, if one accepts new work.
Effects
HandleCallerMessage(State& aState,
                    const Context& aContext,
                    const CallerMessage& aMessage,
                    const std::optional<Base::Endpoint>& aUpstream);

/// Handles a message of another instance.
Effects
HandlePeerMessage(State& aState, const Context& aContext, const PeerMessage& aMessage);

/// Handles a packet of an upstream.
/// \param aSender is the address that the packet came from.
Effects
HandleUpstreamPacket(State& aState,
                     const Context& aContext,
                     const Base::Endpoint& aSender,
                     const lw::upstream::FromUpstream& aPacket);

/// Does what is due. Call it every 50 ms.
Effects
Tick(State& aState, const Context& aContext);

/// Starts a graceful leave: no more dispatch, and flows go to a successor once their running work
/// has ended. Without another alive member the instance finishes its queued requests and takes no
/// new ones.
Effects
BeginLeave(State& aState, const Context& aContext);

/// \return true if a leaving instance holds nothing that it should finish or hand over.
bool
IsDrained(const State& aState);

} // namespace Requests

#pragma once

#include "requests/effects.h"
#include "requests/messages.h"
#include "requests/state.h"

#include "upstream.pb.h"

#include <optional>

namespace Requests {

/// Handles a packet received from a caller.
/// \param aUpstream is the upstream selected for an OpenFlow, if one accepts new work.
Effects
HandleCallerMessage(State& aState,
                    const Context& aContext,
                    const CallerMessage& aMessage,
                    const std::optional<Base::Endpoint>& aUpstream);

/// Handles a message from another instance.
Effects
HandlePeerMessage(State& aState, const Context& aContext, const PeerMessage& aMessage);

/// Handles a packet from an upstream.
/// \param aSender is the source address of the packet.
Effects
HandleUpstreamPacket(State& aState,
                     const Context& aContext,
                     const Base::Endpoint& aSender,
                     const lw::upstream::FromUpstream& aPacket);

/// Processes timeouts, retries and handovers. Call it every 50 ms.
Effects
Tick(State& aState, const Context& aContext);

/// Starts a graceful shutdown: dispatching stops, and each flow is transferred to a successor once
/// its running work has finished. Without another alive member, the instance finishes its queued
/// requests and refuses new ones.
Effects
BeginLeave(State& aState, const Context& aContext);

/// \return true if a leaving instance has no requests left to finish and no flows left to transfer.
bool
IsDrained(const State& aState);

} // namespace Requests

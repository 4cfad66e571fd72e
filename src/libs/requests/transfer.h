#pragma once

#include "requests/attempts.h"

namespace Requests::Internal {

/// Encodes a flow with its window, its queued requests and as many stored answers as fit into a
/// datagram. Queued requests that do not fit are refused first; they have not run.
void
WriteTransfer(HandlerContext& aHandler,
              Base::FlowNumber aNumber,
              lw::requestpeer::FlowTransfer& aTransfer);

/// Adds the flow of a transfer and offers its queued requests to the scheduler.
/// \return false, without any change of state, if the transfer is malformed or the flow exists.
bool
ReadTransfer(HandlerContext& aHandler, const lw::requestpeer::FlowTransfer& aTransfer);

} // namespace Requests::Internal

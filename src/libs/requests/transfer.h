#pragma once

#include "requests/attempts.h"

namespace Requests::Internal {

/// Encodes a flow with its window, its queued requests and as many stored answers as fit. A queued
/// request that does not fit is refused first; it has not run.
void
WriteTransfer(Work& aWork, Base::FlowNumber aNumber, lw::requestpeer::FlowTransfer& aTransfer);

/// Adds the flow of a transfer and offers its queued requests.
/// \return false if the transfer is malformed; then nothing has changed.
bool
ReadTransfer(Work& aWork, const lw::requestpeer::FlowTransfer& aTransfer);

} // namespace Requests::Internal

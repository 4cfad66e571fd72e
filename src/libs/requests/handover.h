#pragma once

#include "requests/attempts.h"

namespace Requests::Internal {

/// Selects the successor and withdraws queued requests from the schedulers.
void
BeginHandover(HandlerContext& aHandler);

/// Transfers flows without running work to the successor, resends unconfirmed transfers and repeats
/// the succession notices.
void
TickHandover(HandlerContext& aHandler);

/// Accepts the transfer of a flow once and confirms every copy of it.
void
AcceptTransfer(HandlerContext& aHandler, const lw::requestpeer::FlowTransfer& aTransfer);

/// Removes a pending transfer that the successor has confirmed.
void
AcceptConfirmation(HandlerContext& aHandler,
                   const lw::requestpeer::FlowTransferConfirmed& aConfirmed);

/// Sends a flow to another successor after the first one has permanently rejected it.
void
AcceptRejection(HandlerContext& aHandler, const lw::requestpeer::FlowTransferRejected& aRejected);

/// Records the run that accepts the tickets of another run.
void
AcceptSuccession(State& aState, const Run& aOwner, const Run& aSuccessor, Base::TimePoint aNow);

} // namespace Requests::Internal

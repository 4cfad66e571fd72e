#pragma once

#include "requests/attempts.h"

namespace Requests::Internal {

/// Selects the successor, takes queued requests back and tells the peers.
void
BeginHandover(Work& aWork);

/// Sends flows without running work to the successor, sends unconfirmed ones again, and repeats the
/// notices of successions.
void
TickHandover(Work& aWork);

/// Takes a flow over, once, and confirms every copy of its transfer.
void
AcceptTransfer(Work& aWork, const lw::requestpeer::FlowTransfer& aTransfer);

/// Forgets a flow that the successor has confirmed.
void
AcceptConfirmation(Work& aWork, const lw::requestpeer::FlowTransferConfirmed& aConfirmed);

/// Sends a flow to another successor after the named one has said that it will never accept it.
void
AcceptRejection(Work& aWork, const lw::requestpeer::FlowTransferRejected& aRejected);

/// Remembers who accepts the tickets of a run.
void
AcceptSuccession(State& aState, const Run& aOwner, const Run& aSuccessor, Base::TimePoint aNow);

} // namespace Requests::Internal

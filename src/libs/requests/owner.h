#pragma once

#include "requests/attempts.h"

#include "caller.pb.h"

namespace Requests::Internal {

/// Opens a flow to the selected upstream, or answers the copy of an OpenFlow again.
void
AcceptOpen(Work& aWork,
           const FlowAddresses& aAddresses,
           const Base::Endpoint& aUpstream,
           const lw::caller::OpenFlow& aOpen);

/// Handles a request of a flow that this instance owns.
void
HandleOwnRequest(Work& aWork, Flow& aFlow, const lw::caller::Request& aRequest);

/// Handles a cancellation in a flow that this instance owns. It may arrive before its request.
void
HandleOwnCancel(Work& aWork, Flow& aFlow, Base::RequestNumber aNumber);

} // namespace Requests::Internal

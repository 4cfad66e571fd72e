#pragma once

#include "requests/attempts.h"

#include "caller.pb.h"

namespace Requests::Internal {

/// Opens a flow to the selected upstream, or resends the reply if the OpenFlow is a duplicate.
void
AcceptOpen(HandlerContext& aHandler,
           const FlowAddresses& aAddresses,
           const Base::Endpoint& aUpstream,
           const lw::caller::OpenFlow& aOpen);

/// Handles a request on a flow owned by this instance.
void
HandleOwnRequest(HandlerContext& aHandler, Flow& aFlow, const lw::caller::Request& aRequest);

/// Handles a cancellation on a flow owned by this instance. It can arrive before its request.
void
HandleOwnCancel(HandlerContext& aHandler, Flow& aFlow, Base::RequestNumber aNumber);

} // namespace Requests::Internal

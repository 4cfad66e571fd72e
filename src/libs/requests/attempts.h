#pragma once

#include "requests/handlercontext.h"

namespace Requests::Internal {

/// Finds or creates the queue of an upstream and updates it to the current policy of the service.
/// \return the queue, or nullptr if the service no longer exists or the upstream does not accept
/// requests.
UpstreamQueue*
FindOrCreateQueue(HandlerContext& aHandler,
                  const UpstreamKey& aKey,
                  const Base::Endpoint& aService);

/// Creates a new attempt for a request and offers it to the scheduler of its upstream.
void
OfferCall(HandlerContext& aHandler, const CallKey& aKey);

/// Removes the queued attempts of a request from the scheduler.
/// \return true if the request has no running attempt.
bool
WithdrawCall(State& aState, const CallKey& aKey);

/// Suspends a request without attempts until its flow is transferred to the successor.
void
SuspendCall(State& aState, const CallKey& aKey);

/// Handles a WorkShed, with which the upstream guarantees that the work did not run.
void
HandleShed(HandlerContext& aHandler, uint64_t aNumber);

/// Applies the queued effects of the schedulers until none are left.
void
ApplySchedulerEffects(HandlerContext& aHandler);

} // namespace Requests::Internal

#pragma once

#include "requests/handlercontext.h"

namespace Requests::Internal {

/// \return the outcome to report for a refusal: FLOW_GONE for a repeatable request whose upstream
/// is gone, as it needs a new flow, and NOT_RUN otherwise.
lw::caller::Outcome
RefusalOutcome(Event aReason, bool aIsRepeatable);

/// Records the state of a request in the window of its flow, if the flow still exists.
void
RecordState(State& aState, const CallKey& aKey, RequestState aRequestState, Event aReason);

/// Reports to the scheduler of the upstream that an attempt has ended.
void
FinishInScheduler(HandlerContext& aHandler,
                  const UpstreamKey& aUpstream,
                  uint64_t aNumber,
                  Admission::WorkOutcome aOutcome);

/// Removes an attempt from all state except the scheduler.
void
DropAttempt(State& aState, Call& aCall, uint64_t aNumber);

/// Completes a request that has not run. The refusal is recorded before it is sent, so that a
/// duplicate that arrives later is not dispatched.
void
EndRefused(HandlerContext& aHandler, const CallKey& aKey, Event aReason);

/// Completes a request whose outcome is unknown and asks the upstream to cancel its running
/// attempts.
void
EndUnknown(HandlerContext& aHandler, const CallKey& aKey, Event aReason);

/// Completes a request with the answer of one of its attempts.
void
EndAnswered(HandlerContext& aHandler, const CallKey& aKey, uint64_t aNumber);

/// Removes a request without attempts from the state.
void
RemoveCall(State& aState, const CallKey& aKey);

/// Never assigned as a work number.
constexpr uint64_t kNoAttempt = 0;

/// Sends a WorkCancel for each running attempt except aExcluded.
void
CancelRunning(HandlerContext& aHandler, const CallKey& aKey, uint64_t aExcluded);

} // namespace Requests::Internal

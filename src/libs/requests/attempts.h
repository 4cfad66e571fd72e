#pragma once

#include "requests/effects.h"
#include "requests/state.h"

#include "upstream.pb.h"

#include <deque>
#include <utility>

namespace Requests::Internal {

/// State, context and effects of the message or tick being handled. Effects of the schedulers are
/// queued here and applied iteratively, because applying one can produce further ones.
struct HandlerContext
{
  State& mState;
  const Context& mContext;
  Effects& mEffects;
  std::deque<std::pair<UpstreamKey, Admission::Effects>> mSchedulerEffects;
};

/// \return the outcome to report for a refusal: FLOW_GONE for a repeatable request whose upstream
/// is gone, as it needs a new flow, and NOT_RUN otherwise.
lw::caller::Outcome
RefusalOutcome(Event aReason, bool aIsRepeatable);

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

/// Removes the queued attempts of a request from the scheduler.
/// \return true if the request has no running attempt.
bool
WithdrawCall(State& aState, const CallKey& aKey);

/// Suspends a request without attempts until its flow is transferred to the successor.
void
SuspendCall(State& aState, const CallKey& aKey);

/// Never assigned as a work number.
constexpr uint64_t kNoAttempt = 0;

/// Sends a WorkCancel for each running attempt except aExcluded.
void
CancelRunning(HandlerContext& aHandler, const CallKey& aKey, uint64_t aExcluded);

/// Handles a WorkShed, with which the upstream guarantees that the work did not run.
void
HandleShed(HandlerContext& aHandler, uint64_t aNumber);

/// Applies the queued effects of the schedulers until none are left.
void
ApplySchedulerEffects(HandlerContext& aHandler);

} // namespace Requests::Internal

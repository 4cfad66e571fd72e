#pragma once

#include "requests/effects.h"
#include "requests/state.h"

#include "upstream.pb.h"

#include <deque>
#include <utility>

namespace Requests::Internal {

/// Collects what the scheduler asks for while a message is handled, so that a decision that follows
/// from another one does not recurse.
struct Work
{
  State& mState;
  const Context& mContext;
  Effects& mEffects;
  std::deque<std::pair<UpstreamKey, Admission::Effects>> mPending;
};

/// \return the outcome that a refusal for this reason has: a repeatable request whose upstream is
/// gone needs a new flow, everything else is told that it has not run.
lw::caller::Outcome
RefusalOutcome(Event aReason, bool aIsRepeatable);

/// \return the queue with the present policy of the service, or nullptr if the service is gone or
/// the upstream takes no requests.
UpstreamQueue*
QueueOf(Work& aWork, const UpstreamKey& aKey, const Base::Endpoint& aService);

/// Puts a new attempt of a request into the queue of its upstream.
void
OfferCall(Work& aWork, const CallKey& aKey);

/// Ends a request that has not run. The refusal is recorded before it is sent, so that no later
/// copy can run.
void
EndRefused(Work& aWork, const CallKey& aKey, Event aReason);

/// Ends a request whose outcome is not known and asks the upstream to cancel what runs.
void
EndUnknown(Work& aWork, const CallKey& aKey, Event aReason);

/// Ends a request with the whole answer of one of its attempts.
void
EndAnswered(Work& aWork, const CallKey& aKey, uint64_t aNumber);

/// Forgets a request that is handed over. It must have no attempts.
void
ForgetCall(State& aState, const CallKey& aKey);

/// Takes a queued request out of the scheduler's queue.
/// \return true if none of its attempts is running.
bool
WithdrawCall(State& aState, const CallKey& aKey);

/// Keeps a request without attempts until the handover takes its flow.
void
HoldCall(State& aState, const CallKey& aKey);

/// Work number that no attempt has.
constexpr uint64_t kNoAttempt = 0;

/// Sends a WorkCancel for each running attempt but one.
void
CancelRunning(Work& aWork, const CallKey& aKey, uint64_t aExcept);

/// Handles a refusal by the upstream, which guarantees that the work did not run.
void
HandleShed(Work& aWork, uint64_t aNumber);

/// Carries out the collected wishes of the schedulers.
void
Drain(Work& aWork);

} // namespace Requests::Internal

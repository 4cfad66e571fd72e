#pragma once

#include "admission/scheduler.h"

namespace Admission {

/// Refills the token buckets of kinds and clients for the time since the last call. The surge
/// allowance of a client increases the depth of its bucket in each kind.
/// \param aLimit is the current concurrency limit.
void
RefillGuarantees(Scheduler& aScheduler, const Policy& aPolicy, size_t aLimit, Base::TimePoint aNow);

/// Charges slot time to the guarantees or deficits under which the work was dispatched.
/// \param aSeconds is negative to refund slot time.
void
Charge(Scheduler& aScheduler, const RunningWork& aWork, double aSeconds);

/// Removes empty queues of kinds and clients that the policy no longer contains, so that memory
/// does not grow with policy changes.
void
RemoveUnknownQueues(Scheduler& aScheduler, const Policy& aPolicy);

} // namespace Admission

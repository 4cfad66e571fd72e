#pragma once

#include "admission/scheduler.h"

namespace Admission {

/// Adds the slot time that kinds and clients earned since the last call. A client's surge allowance
/// deepens its bucket in each kind.
/// \param aLimit is the present concurrency limit.
void
RefillGuarantees(Scheduler& aScheduler, const Policy& aPolicy, size_t aLimit, Base::TimePoint aNow);

/// Charges slot time to the accounts that the work was dispatched from.
/// \param aSeconds is negative for a correction downwards.
void
Charge(Scheduler& aScheduler, const RunningWork& aWork, double aSeconds);

/// Removes empty queues of kinds and clients that the policy does not name any more, so that policy
/// changes do not add up.
void
DropUnknownQueues(Scheduler& aScheduler, const Policy& aPolicy);

} // namespace Admission

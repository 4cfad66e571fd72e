#pragma once

#include "admission/scheduler.h"

#include <optional>
#include <string>

namespace Admission {

/// Queue from which the next work is dispatched.
struct Selection
{
  std::string mKindName;
  std::string mClientName;
  /// nullptr if no work can be dispatched.
  KindQueue* mKind = nullptr;
  ClientQueue* mClient = nullptr;
  bool mKindGuaranteed = false;
  bool mClientGuaranteed = false;
};

/// Names of the queues that hold an item.
struct QueueName
{
  std::string mKind;
  std::string mClient;
};

/// \return the kind's name, or "" for a kind that the policy does not name. All unknown kinds share
/// one queue, so that callers cannot create queues.
std::string
QueueNameOfKind(const Policy& aPolicy, const std::string& aKind);

/// \copydoc QueueNameOfKind
std::string
QueueNameOfClient(const Policy& aPolicy, const std::string& aClient);

/// Adds the slot time that kinds and clients earned since the last call.
/// \param aLimit is the present concurrency limit.
void
RefillGuarantees(Scheduler& aScheduler, const Policy& aPolicy, size_t aLimit, Base::TimePoint aNow);

/// Removes empty queues and accounts of kinds and clients that the policy does not name any more,
/// so that policy changes do not add up.
void
DropUnknownQueues(Scheduler& aScheduler, const Policy& aPolicy);

/// Selects the next work: first what has waited for kStarvationBound, then kinds within their
/// guarantee by urgency, then kinds that borrow by deficit round robin; within the kind the same
/// for clients, without urgency.
Selection
SelectNext(Scheduler& aScheduler, const Policy& aPolicy, size_t aLimit, Base::TimePoint aNow);

/// Charges slot time to the accounts that the work was dispatched from.
/// \param aSeconds is negative for a correction downwards.
void
Charge(Scheduler& aScheduler, const RunningWork& aWork, double aSeconds);

/// \return why an item cannot finish before its deadline, or nothing if it can.
std::optional<RefusalReason>
CheckQueue(const Scheduler& aScheduler,
           const Policy& aPolicy,
           const QueueName& aName,
           Base::TimePoint aDeadline,
           Base::TimePoint aNow);

} // namespace Admission

#pragma once

#include "admission/scheduler.h"

#include <optional>
#include <string>

namespace Admission {

/// Names of the queues that hold an item.
struct QueueName
{
  std::string mKind;
  std::string mClient;
};

/// On what grounds work takes a slot.
enum class Claim
{
  Guaranteed,
  Borrowed
};

/// \return slots that work of a kind may hold. Long work leaves one free while shorter work with
/// a guarantee is active, unless its own guarantee needs that slot.
uint32_t
MaxRunning(const Scheduler& aScheduler,
           const Policy& aPolicy,
           const std::string& aName,
           size_t aLimit,
           Claim aClaim,
           Base::TimePoint aNow);

/// \return why an item cannot finish before its deadline, or nothing if it can.
std::optional<RefusalReason>
CheckQueue(const Scheduler& aScheduler,
           const Policy& aPolicy,
           const QueueName& aName,
           Base::TimePoint aDeadline,
           Base::TimePoint aNow);

} // namespace Admission

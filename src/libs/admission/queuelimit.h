#pragma once

#include "admission/scheduler.h"

#include <optional>
#include <string>

namespace Admission {

/// Identifies the queue of an item.
struct QueueName
{
  std::string mKind;
  std::string mClient;
};

/// Whether a slot is used within a guarantee or borrowed.
enum class SlotClaim
{
  Guaranteed,
  Borrowed
};

/// \return the number of slots that a kind may use. Long work leaves one slot free while a kind
/// with shorter work and a guarantee is active, unless the guarantee of the long work requires the
/// slot.
uint32_t
MaxRunning(const Scheduler& aScheduler,
           const Policy& aPolicy,
           const std::string& aName,
           size_t aLimit,
           SlotClaim aSlotClaim,
           Base::TimePoint aNow);

/// Checks whether a new item can be queued and is expected to finish before its deadline.
/// \return the reason to refuse the item, or nullopt to accept it.
std::optional<RefusalReason>
CheckQueue(const Scheduler& aScheduler,
           const Policy& aPolicy,
           const QueueName& aName,
           Base::TimePoint aDeadline,
           Base::TimePoint aNow);

} // namespace Admission

#pragma once

#include "admission/servicetime.h"
#include "admission/starvation.h"
#include "admission/tokenbucket.h"
#include "base/runtimeclock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace Admission {

/// A request that waits for a slot of an upstream.
struct WorkItem
{
  /// Id assigned by the user of this library, unique within one Scheduler.
  uint64_t mId = 0;
  std::string mKind;
  std::string mClient;
  Base::TimePoint mDeadline;
};

/// Queued work of one client within one kind. Held by the dispatcher of the upstream; if it fails,
/// the queue is lost and callers time out. Limited by the deadlines of the work and by
/// kMaxQueuedForClient.
struct ClientQueue
{
  std::deque<WorkItem> mItems;
  double mDeficit = 0;
  /// Slot time that the client may use in this kind with precedence over borrowing clients.
  TokenBucket mGuarantee;
  /// Time since which the queue has been waiting for a dispatch.
  Base::TimePoint mWaitingSince;
};

/// Queued work of one kind. Has the same lifetime and limits as ClientQueue. There is one client
/// queue for each client of the policy and one for all other clients.
struct KindQueue
{
  std::map<std::string, ClientQueue> mClients;
  std::string mCursor;
  size_t mQueued = 0;
  uint32_t mRunning = 0;
  double mDeficit = 0;
  /// Slot time that the kind may use with precedence over borrowing kinds.
  TokenBucket mGuarantee;
  ServiceTime mServiceTime;
  Base::TimePoint mWaitingSince;
  /// State of starvation prevention between the clients of this kind.
  StarvationState mStarvationState;
  /// Last time at which work of the kind was offered or finished.
  Base::TimePoint mLastActive;
};

/// Maximum number of queued items of one client in one kind at one upstream.
constexpr size_t kMaxQueuedForClient = 512;

void
Push(KindQueue& aKind, const std::string& aClient, const WorkItem& aItem, Base::TimePoint aNow);

/// Removes the oldest item of a client's queue, which must not be empty.
WorkItem
Pop(KindQueue& aKind, ClientQueue& aClient, Base::TimePoint aNow);

/// Removes an item by its id.
/// \return true if it was queued.
bool
Remove(KindQueue& aKind, uint64_t aId);

/// Removes the items whose deadline has passed.
std::vector<WorkItem>
RemoveExpired(KindQueue& aKind, Base::TimePoint aNow);

} // namespace Admission

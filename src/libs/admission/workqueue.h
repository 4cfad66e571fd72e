#pragma once

#include "admission/servicetime.h"
#include "admission/tokenbucket.h"
#include "base/runtimeclock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace Admission {

/// A request that waits for a slot of one upstream.
struct WorkItem
{
  /// Number that the caller of this library chose for the request, unique within one Scheduler.
  uint64_t mId = 0;
  std::string mKind;
  std::string mClient;
  Base::TimePoint mDeadline;
};

/// Queued work of one client within one kind. Owned by the upstream's dispatcher and lost with it,
/// callers then time out; bounded by the deadlines of its work and by kMaxQueuedForClient.
struct ClientQueue
{
  std::deque<WorkItem> mItems;
  double mDeficit = 0;
  /// Slot time that the client may use in this kind ahead of clients that borrow.
  TokenBucket mGuarantee;
  /// Start of the present wait for a dispatch.
  Base::TimePoint mWaitingSince;
};

/// Queued work of one kind. Owned and bounded like ClientQueue; there is one client queue for each
/// client of the policy and one for all other clients.
struct KindQueue
{
  std::map<std::string, ClientQueue> mClients;
  std::string mCursor;
  size_t mQueued = 0;
  uint32_t mRunning = 0;
  double mDeficit = 0;
  /// Slot time that the kind may use ahead of kinds that borrow.
  TokenBucket mGuarantee;
  ServiceTime mServiceTime;
  Base::TimePoint mWaitingSince;
  /// Last time that work of the kind was offered or ended.
  Base::TimePoint mLastActive;
};

/// Bound of queued work of one client in one kind at one upstream, whatever its deadlines are.
constexpr size_t kMaxQueuedForClient = 512;

/// A client or kind with queued work is served after this wait at the next free slot, whatever its
/// share is. This bounds the wait of work without a share.
constexpr Base::Duration kStarvationBound = std::chrono::seconds(5);

void
Push(KindQueue& aKind, const std::string& aClient, const WorkItem& aItem, Base::TimePoint aNow);

/// Removes the oldest item of a client's queue, which must not be empty.
WorkItem
Pop(KindQueue& aKind, ClientQueue& aClient, Base::TimePoint aNow);

/// Removes an item by its number.
/// \return true if it was queued.
bool
Remove(KindQueue& aKind, uint64_t aId);

/// Removes the items whose deadline has passed.
std::vector<WorkItem>
RemoveExpired(KindQueue& aKind, Base::TimePoint aNow);

} // namespace Admission

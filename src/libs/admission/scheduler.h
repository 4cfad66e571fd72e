#pragma once

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

enum class RefusalReason
{
  QueueFull,
  DeadlineTooShort,
  DeadlinePassed
};

struct Refused
{
  uint64_t mId = 0;
  RefusalReason mReason = RefusalReason::QueueFull;
};

/// What the caller must do after a call: dispatch these items, refuse those.
struct Effects
{
  std::vector<WorkItem> mDispatch;
  std::vector<Refused> mRefuse;
};

enum class WorkOutcome
{
  Answered,
  /// The upstream refused the work before running it.
  Shed,
  TimedOut,
  Canceled
};

/// Policy for the kinds and clients of one service.
struct Policy
{
  struct Kind
  {
    std::string mName;
    uint32_t mSharePermille = 0;
    uint32_t mUrgency = 0;
  };
  struct Client
  {
    std::string mName;
    uint32_t mSharePermille = 0;
    uint32_t mSurgeAllowance = 0;
  };
  std::vector<Kind> mKinds;
  std::vector<Client> mClients;
};

/// Queue and running work of one upstream. Owned by the upstream's dispatcher and lost with it; its
/// size is bounded by the deadlines of the queued work.
struct Scheduler
{
  uint32_t mSlots = 1;
  std::deque<WorkItem> mQueue;
  std::map<uint64_t, Base::TimePoint> mRunning;
};

/// Offers a request. It is dispatched, queued or refused.
Effects
Offer(Scheduler& aScheduler, const Policy& aPolicy, const WorkItem& aItem, Base::TimePoint aNow);

/// Tells that dispatched work has ended.
Effects
Finish(Scheduler& aScheduler,
       const Policy& aPolicy,
       uint64_t aId,
       WorkOutcome aOutcome,
       Base::TimePoint aNow);

/// Removes a queued request.
/// \return true if it was queued, so that it surely does not run.
bool
Withdraw(Scheduler& aScheduler, uint64_t aId);

/// Refuses queued work whose deadline has passed and dispatches what can run. Call it every 50 ms.
Effects
Tick(Scheduler& aScheduler, const Policy& aPolicy, Base::TimePoint aNow);

/// Tells what the upstream reports of itself.
void
Report(Scheduler& aScheduler, uint32_t aSlots, uint32_t aLoad, Base::TimePoint aNow);

} // namespace Admission

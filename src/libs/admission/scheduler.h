#pragma once

#include "admission/concurrencylimit.h"
#include "admission/hangdetection.h"
#include "admission/workqueue.h"
#include "base/runtimeclock.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Admission {

enum class RefusalReason
{
  QueueFull,
  DeadlineTooShort,
  DeadlinePassed,
  /// The upstream has stopped answering; the work was not sent to it.
  UpstreamHung
};

struct Refused
{
  uint64_t mId = 0;
  RefusalReason mReason = RefusalReason::QueueFull;
};

/// Items that the caller has to dispatch or refuse after a call.
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

/// Scheduling policy for the kinds and clients of one service.
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

/// Dispatched work that has not finished.
struct RunningWork
{
  std::string mKind;
  std::string mClient;
  Base::TimePoint mStart;
  /// Estimated slot time in seconds charged at dispatch; corrected when the work finishes.
  double mCharged = 0;
  /// Whether the slot time was charged to the guarantee of the kind and of the client,
  /// respectively.
  bool mKindGuaranteed = false;
  bool mClientGuaranteed = false;
};

/// Queued and running work of one upstream. Held by the dispatcher of the upstream and not
/// persistent: if the dispatcher fails, callers time out and the outcome of their requests is
/// unknown. Queued work is limited by its deadlines and by kMaxQueuedForClient for each kind and
/// client of the policy; running work is limited by the concurrency limit.
struct Scheduler
{
  ConcurrencyLimit mLimit;
  HangState mHang;
  std::map<std::string, KindQueue> mKinds;
  std::string mKindCursor;
  /// State of starvation prevention between kinds.
  StarvationState mStarvationState;
  std::map<uint64_t, RunningWork> mRunning;
};

/// Submits a request, which is dispatched, queued or refused.
Effects
Offer(Scheduler& aScheduler, const Policy& aPolicy, const WorkItem& aItem, Base::TimePoint aNow);

/// Reports that dispatched work has finished. Unknown ids are ignored.
Effects
Finish(Scheduler& aScheduler,
       const Policy& aPolicy,
       uint64_t aId,
       WorkOutcome aOutcome,
       Base::TimePoint aNow);

/// Removes a queued request.
/// \return true if it was queued, which guarantees that it does not run.
bool
Withdraw(Scheduler& aScheduler, uint64_t aId);

/// Refuses queued work whose deadline has passed and dispatches work to free slots. Call it every
/// 50 ms.
Effects
Tick(Scheduler& aScheduler, const Policy& aPolicy, Base::TimePoint aNow);

/// Applies a load report of the upstream.
void
Report(Scheduler& aScheduler, uint32_t aSlots, uint32_t aLoad, Base::TimePoint aNow);

/// \return true if the upstream has stopped answering and should not get new flows.
bool
IsHung(const Scheduler& aScheduler);

} // namespace Admission

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
  /// The upstream stopped answering, and the work was not sent to it.
  UpstreamHung
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

/// Dispatched work that has not ended.
struct RunningWork
{
  std::string mKind;
  std::string mClient;
  Base::TimePoint mStart;
  /// Slot time in seconds that was charged at dispatch and is corrected at the end.
  double mCharged = 0;
  /// The charge went to the guarantee, of the kind and of the client respectively.
  bool mKindGuaranteed = false;
  bool mClientGuaranteed = false;
};

/// Queue and running work of one upstream. Owned by the upstream's dispatcher and lost with it:
/// callers time out, and their outcome is unknown. Its size is bounded by the deadlines of the
/// queued work and by kMaxQueuedForClient for each kind and client of the policy; running work is
/// bounded by the concurrency limit.
struct Scheduler
{
  ConcurrencyLimit mLimit;
  HangState mHang;
  std::map<std::string, KindQueue> mKinds;
  std::string mKindCursor;
  std::map<uint64_t, RunningWork> mRunning;
};

/// Offers a request. It is dispatched, queued or refused.
Effects
Offer(Scheduler& aScheduler, const Policy& aPolicy, const WorkItem& aItem, Base::TimePoint aNow);

/// Tells that dispatched work has ended. An unknown number is ignored.
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

/// \return true if the upstream stopped answering. New flows should avoid it.
bool
IsHung(const Scheduler& aScheduler);

} // namespace Admission

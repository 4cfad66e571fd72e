#include "admission/scheduler.h"

#include "admission/guarantee.h"
#include "admission/policylookup.h"
#include "admission/queuelimit.h"
#include "admission/selection.h"

#include <algorithm>
#include <optional>

namespace Admission {

namespace {

using Seconds = std::chrono::duration<double>;

constexpr Base::Duration kMinHangTimeout = std::chrono::milliseconds(500);
// Used until the first answer, when no service time is known. Longer than the lease of an upstream
// that stops responding.
constexpr Base::Duration kInitialHangTimeout = std::chrono::seconds(6);
constexpr int kHangFactor = 4;
// Work that takes longer than this multiple of the conservative estimate indicates overload. About
// 1 in 25 items takes longer than the estimate itself.
constexpr int kOverloadFactor = 3;

double
ToSeconds(Base::Duration aDuration)
{
  return Seconds(aDuration).count();
}

void
RefuseAll(Scheduler& aScheduler, RefusalReason aReason, Effects& aEffects)
{
  for (auto& [name, kind] : aScheduler.mKinds) {
    for (auto& [client, queue] : kind.mClients) {
      for (const WorkItem& item : queue.mItems) {
        aEffects.mRefuse.push_back({ item.mId, aReason });
      }
      queue.mItems.clear();
      queue.mDeficit = std::min(queue.mDeficit, 0.0);
    }
    kind.mQueued = 0;
    kind.mDeficit = std::min(kind.mDeficit, 0.0);
  }
}

void
UpdateHang(Scheduler& aScheduler, Base::TimePoint aNow, Effects& aEffects)
{
  if (aScheduler.mRunning.empty() || aScheduler.mHang.mHung) {
    return;
  }
  Base::TimePoint oldest = aNow;
  Base::Duration timeout = kMinHangTimeout;
  for (const auto& [id, work] : aScheduler.mRunning) {
    oldest = std::min(oldest, work.mStart);
    const ServiceTime& time = aScheduler.mKinds[work.mKind].mServiceTime;
    const Base::Duration own =
      time.mSamples == 0 ? kInitialHangTimeout : kHangFactor * ConservativeEstimate(time);
    timeout = std::max(timeout, own);
  }
  CheckForHang(aScheduler.mHang, oldest, timeout, aNow);
  if (aScheduler.mHang.mHung) {
    RefuseAll(aScheduler, RefusalReason::UpstreamHung, aEffects);
  }
}

void
Dispatch(Scheduler& aScheduler,
         const Selection& aSelection,
         const WorkItem& aItem,
         Base::TimePoint aNow,
         Effects& aEffects)
{
  KindQueue& kind = *aSelection.mKind;
  RunningWork work;
  work.mKind = aSelection.mKindName;
  work.mClient = aSelection.mClientName;
  work.mStart = aNow;
  work.mKindGuaranteed = aSelection.mKindGuaranteed;
  work.mClientGuaranteed = aSelection.mClientGuaranteed;
  work.mCharged = ToSeconds(kind.mServiceTime.mMean);
  Charge(aScheduler, work, work.mCharged);
  ++kind.mRunning;
  aScheduler.mRunning[aItem.mId] = work;
  ConcurrencyLimit& limit = aScheduler.mLimit;
  limit.mPeakRunning =
    std::max(limit.mPeakRunning, static_cast<uint32_t>(aScheduler.mRunning.size()));
  aEffects.mDispatch.push_back(aItem);
}

bool
HasFreeSlot(Scheduler& aScheduler, Base::TimePoint aNow)
{
  if (aScheduler.mHang.mHung) {
    return IsProbeDue(aScheduler.mHang, aNow);
  }
  return aScheduler.mRunning.size() < EffectiveLimit(aScheduler.mLimit, aNow);
}

void
DispatchReady(Scheduler& aScheduler, const Policy& aPolicy, Base::TimePoint aNow, Effects& aEffects)
{
  size_t limit = EffectiveLimit(aScheduler.mLimit, aNow);
  RefillGuarantees(aScheduler, aPolicy, limit, aNow);
  if (aScheduler.mHang.mHung) {
    // Allows one probe in addition to the hanging work.
    limit = std::max(limit, aScheduler.mRunning.size() + 1);
  }
  while (HasFreeSlot(aScheduler, aNow)) {
    const Selection selection = SelectNext(aScheduler, aPolicy, limit, aNow);
    if (selection.mKind == nullptr) {
      return;
    }
    const WorkItem item = Pop(*selection.mKind, *selection.mClient, aNow);
    // Work that is not expected to finish before its deadline would waste the slot.
    if (item.mDeadline < aNow + ConservativeEstimate(selection.mKind->mServiceTime)) {
      const bool passed = item.mDeadline <= aNow;
      aEffects.mRefuse.push_back(
        { item.mId, passed ? RefusalReason::DeadlinePassed : RefusalReason::DeadlineTooShort });
      continue;
    }
    if (aScheduler.mHang.mHung) {
      aScheduler.mHang.mLastProbe = aNow;
    }
    Dispatch(aScheduler, selection, item, aNow, aEffects);
  }
  aScheduler.mLimit.mWindowLimited = true;
}

// Updates the estimates from finished work. Canceled work gives no information on the upstream.
void
UpdateEstimates(Scheduler& aScheduler,
                ServiceTime& aTime,
                Base::Duration aElapsed,
                WorkOutcome aOutcome,
                Base::TimePoint aNow)
{
  switch (aOutcome) {
    case WorkOutcome::Answered:
      OnUpstreamResponse(aScheduler.mHang, aNow);
      AddSample(aTime, aElapsed);
      OnAnswer(aScheduler.mLimit, LatencyRatio(aTime, aElapsed), aNow);
      if (!aScheduler.mLimit.mLatencyIncreased) {
        AddToBaseline(aTime, aElapsed);
      }
      return;
    case WorkOutcome::Shed:
      OnUpstreamResponse(aScheduler.mHang, aNow);
      OnOverload(aScheduler.mLimit, aNow);
      return;
    case WorkOutcome::TimedOut:
      // A timeout of work dispatched shortly before its deadline gives no information on the
      // upstream.
      if (aElapsed > kOverloadFactor * ConservativeEstimate(aTime)) {
        OnTimeout(aScheduler.mLimit, aNow);
      }
      return;
    case WorkOutcome::Canceled:
      return;
  }
}

} // namespace

Effects
Offer(Scheduler& aScheduler, const Policy& aPolicy, const WorkItem& aItem, Base::TimePoint aNow)
{
  Effects effects;
  UpdateHang(aScheduler, aNow, effects);
  const std::string kindName = QueueNameOfKind(aPolicy, aItem.mKind);
  const std::string clientName = QueueNameOfClient(aPolicy, aItem.mClient);
  KindQueue& kind = aScheduler.mKinds[kindName];
  kind.mLastActive = aNow;
  if (aItem.mDeadline <= aNow) {
    effects.mRefuse.push_back({ aItem.mId, RefusalReason::DeadlinePassed });
    return effects;
  }
  if (aScheduler.mHang.mHung && !IsProbeDue(aScheduler.mHang, aNow)) {
    effects.mRefuse.push_back({ aItem.mId, RefusalReason::UpstreamHung });
    return effects;
  }
  const std::optional<RefusalReason> refusal =
    CheckQueue(aScheduler, aPolicy, { kindName, clientName }, aItem.mDeadline, aNow);
  if (refusal) {
    effects.mRefuse.push_back({ aItem.mId, *refusal });
    return effects;
  }
  Push(kind, clientName, aItem, aNow);
  DispatchReady(aScheduler, aPolicy, aNow, effects);
  return effects;
}

Effects
Finish(Scheduler& aScheduler,
       const Policy& aPolicy,
       uint64_t aId,
       WorkOutcome aOutcome,
       Base::TimePoint aNow)
{
  Effects effects;
  const auto found = aScheduler.mRunning.find(aId);
  if (found == aScheduler.mRunning.end()) {
    return effects;
  }
  const RunningWork work = found->second;
  aScheduler.mRunning.erase(found);
  KindQueue& kind = aScheduler.mKinds[work.mKind];
  --kind.mRunning;
  kind.mLastActive = aNow;
  const Base::Duration elapsed = aNow - work.mStart;
  Charge(aScheduler, work, ToSeconds(elapsed) - work.mCharged);
  UpdateEstimates(aScheduler, kind.mServiceTime, elapsed, aOutcome, aNow);
  DispatchReady(aScheduler, aPolicy, aNow, effects);
  return effects;
}

bool
Withdraw(Scheduler& aScheduler, uint64_t aId)
{
  return std::any_of(aScheduler.mKinds.begin(), aScheduler.mKinds.end(), [aId](auto& aEntry) {
    return Remove(aEntry.second, aId);
  });
}

Effects
Tick(Scheduler& aScheduler, const Policy& aPolicy, Base::TimePoint aNow)
{
  Effects effects;
  UpdateHang(aScheduler, aNow, effects);
  for (auto& [name, kind] : aScheduler.mKinds) {
    for (const WorkItem& item : RemoveExpired(kind, aNow)) {
      effects.mRefuse.push_back({ item.mId, RefusalReason::DeadlinePassed });
    }
  }
  DispatchReady(aScheduler, aPolicy, aNow, effects);
  RemoveUnknownQueues(aScheduler, aPolicy);
  return effects;
}

void
Report(Scheduler& aScheduler, uint32_t aSlots, uint32_t aLoad, Base::TimePoint aNow)
{
  const auto running = static_cast<uint32_t>(aScheduler.mRunning.size());
  ApplyReport(aScheduler.mLimit, aSlots, aLoad, running, aNow);
}

bool
IsHung(const Scheduler& aScheduler)
{
  return aScheduler.mHang.mHung;
}

} // namespace Admission

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

constexpr Base::Duration kMinHangPatience = std::chrono::milliseconds(500);
// Without any answer there is no usual time; longer than the lease of a silent upstream.
constexpr Base::Duration kUnknownHangPatience = std::chrono::seconds(6);
constexpr int kHangFactor = 4;
// Work that takes longer than this many cautious estimates is a sign of overload. About 1 in 25
// items takes longer than one estimate.
constexpr int kOverloadFactor = 3;

double
InSeconds(Base::Duration aDuration)
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
  Base::Duration patience = kMinHangPatience;
  for (const auto& [id, work] : aScheduler.mRunning) {
    oldest = std::min(oldest, work.mStart);
    const ServiceTime& time = aScheduler.mKinds[work.mKind].mServiceTime;
    const Base::Duration own =
      time.mSamples == 0 ? kUnknownHangPatience : kHangFactor * CautiousEstimate(time);
    patience = std::max(patience, own);
  }
  CheckForHang(aScheduler.mHang, oldest, patience, aNow);
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
  work.mCharged = InSeconds(kind.mServiceTime.mMean);
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
    // The probe comes on top of the work that hangs.
    limit = std::max(limit, aScheduler.mRunning.size() + 1);
  }
  while (HasFreeSlot(aScheduler, aNow)) {
    const Selection selection = SelectNext(aScheduler, aPolicy, limit, aNow);
    if (selection.mKind == nullptr) {
      return;
    }
    const WorkItem item = Pop(*selection.mKind, *selection.mClient, aNow);
    // Work that would end after its deadline wastes the slot.
    if (item.mDeadline < aNow + CautiousEstimate(selection.mKind->mServiceTime)) {
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

// Learns from the end of work. A canceled item tells nothing about the upstream.
void
Learn(Scheduler& aScheduler,
      ServiceTime& aTime,
      Base::Duration aTook,
      WorkOutcome aOutcome,
      Base::TimePoint aNow)
{
  switch (aOutcome) {
    case WorkOutcome::Answered:
      OnSignOfLife(aScheduler.mHang, aNow);
      AddSample(aTime, aTook);
      OnAnswer(aScheduler.mLimit, LatencyRatio(aTime, aTook), aNow);
      if (!aScheduler.mLimit.mLatencyGrown) {
        AddToBaseline(aTime, aTook);
      }
      return;
    case WorkOutcome::Shed:
      OnSignOfLife(aScheduler.mHang, aNow);
      OnOverload(aScheduler.mLimit, aNow);
      return;
    case WorkOutcome::TimedOut:
      // Work that was dispatched shortly before its deadline tells nothing about the upstream.
      if (aTook > kOverloadFactor * CautiousEstimate(aTime)) {
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
  const Base::Duration took = aNow - work.mStart;
  Charge(aScheduler, work, InSeconds(took) - work.mCharged);
  Learn(aScheduler, kind.mServiceTime, took, aOutcome, aNow);
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
  DropUnknownQueues(aScheduler, aPolicy);
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

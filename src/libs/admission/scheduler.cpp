#include "admission/scheduler.h"

#include <algorithm>

namespace Admission {

namespace {

constexpr size_t kMaxQueuedForSlot = 16;

void
DispatchReady(Scheduler& aScheduler, Base::TimePoint aNow, Effects& aEffects)
{
  while (!aScheduler.mQueue.empty() && aScheduler.mRunning.size() < aScheduler.mSlots) {
    const WorkItem item = aScheduler.mQueue.front();
    aScheduler.mQueue.pop_front();
    if (item.mDeadline <= aNow) {
      aEffects.mRefuse.push_back({ item.mId, RefusalReason::DeadlinePassed });
      continue;
    }
    aScheduler.mRunning[item.mId] = aNow;
    aEffects.mDispatch.push_back(item);
  }
}

} // namespace

Effects
Offer(Scheduler& aScheduler, const Policy& /*aPolicy*/, const WorkItem& aItem, Base::TimePoint aNow)
{
  Effects effects;
  if (aItem.mDeadline <= aNow) {
    effects.mRefuse.push_back({ aItem.mId, RefusalReason::DeadlinePassed });
    return effects;
  }
  if (aScheduler.mQueue.size() >= kMaxQueuedForSlot * aScheduler.mSlots) {
    effects.mRefuse.push_back({ aItem.mId, RefusalReason::QueueFull });
    return effects;
  }
  aScheduler.mQueue.push_back(aItem);
  DispatchReady(aScheduler, aNow, effects);
  return effects;
}

Effects
Finish(Scheduler& aScheduler,
       const Policy& /*aPolicy*/,
       uint64_t aId,
       WorkOutcome /*aOutcome*/,
       Base::TimePoint aNow)
{
  Effects effects;
  aScheduler.mRunning.erase(aId);
  DispatchReady(aScheduler, aNow, effects);
  return effects;
}

bool
Withdraw(Scheduler& aScheduler, uint64_t aId)
{
  const auto found = std::find_if(aScheduler.mQueue.begin(),
                                  aScheduler.mQueue.end(),
                                  [aId](const WorkItem& aItem) { return aItem.mId == aId; });
  if (found == aScheduler.mQueue.end()) {
    return false;
  }
  aScheduler.mQueue.erase(found);
  return true;
}

Effects
Tick(Scheduler& aScheduler, const Policy& /*aPolicy*/, Base::TimePoint aNow)
{
  Effects effects;
  auto& queue = aScheduler.mQueue;
  for (auto item = queue.begin(); item != queue.end();) {
    if (item->mDeadline > aNow) {
      ++item;
      continue;
    }
    effects.mRefuse.push_back({ item->mId, RefusalReason::DeadlinePassed });
    item = queue.erase(item);
  }
  DispatchReady(aScheduler, aNow, effects);
  return effects;
}

void
Report(Scheduler& aScheduler, uint32_t aSlots, uint32_t /*aLoad*/, Base::TimePoint /*aNow*/)
{
  aScheduler.mSlots = std::max<uint32_t>(1, aSlots);
}

} // namespace Admission

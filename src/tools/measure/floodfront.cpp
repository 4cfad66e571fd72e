#include "measure/floodfront.h"

namespace Measure {

namespace {

constexpr size_t kMaxQueuedForSlot = 16;

void
DispatchInOrder(Front& aFront, Base::TimePoint aNow, Admission::Effects& aEffects)
{
  while (!aFront.mQueue.empty() && aFront.mRunning.size() < aFront.mSlots) {
    const Admission::WorkItem item = aFront.mQueue.front();
    aFront.mQueue.pop_front();
    if (item.mDeadline <= aNow) {
      aEffects.mRefuse.push_back({ item.mId, Admission::RefusalReason::DeadlinePassed });
      continue;
    }
    aFront.mRunning.insert(item.mId);
    aEffects.mDispatch.push_back(item);
  }
}

} // namespace

const char*
ControlName(Control aControl)
{
  switch (aControl) {
    case Control::Policy:
      return "policy";
    case Control::SingleLimit:
      return "single limit";
    case Control::RoundRobin:
      return "round robin";
  }
  return "";
}

Admission::Effects
OfferTo(Front& aFront,
        const Admission::Policy& aPolicy,
        const Admission::WorkItem& aItem,
        Base::TimePoint aNow)
{
  if (aFront.mControl == Control::Policy) {
    return Admission::Offer(aFront.mScheduler, aPolicy, aItem, aNow);
  }
  Admission::Effects effects;
  if (aFront.mControl == Control::RoundRobin) {
    effects.mDispatch.push_back(aItem);
  } else if (aFront.mQueue.size() >= kMaxQueuedForSlot * aFront.mSlots) {
    effects.mRefuse.push_back({ aItem.mId, Admission::RefusalReason::QueueFull });
  } else {
    aFront.mQueue.push_back(aItem);
    DispatchInOrder(aFront, aNow, effects);
  }
  return effects;
}

Admission::Effects
FinishAt(Front& aFront,
         const Admission::Policy& aPolicy,
         uint64_t aId,
         Admission::WorkOutcome aOutcome,
         Base::TimePoint aNow)
{
  if (aFront.mControl == Control::Policy) {
    return Admission::Finish(aFront.mScheduler, aPolicy, aId, aOutcome, aNow);
  }
  Admission::Effects effects;
  aFront.mRunning.erase(aId);
  DispatchInOrder(aFront, aNow, effects);
  return effects;
}

Admission::Effects
TickFront(Front& aFront, const Admission::Policy& aPolicy, Base::TimePoint aNow)
{
  if (aFront.mControl == Control::Policy) {
    return Admission::Tick(aFront.mScheduler, aPolicy, aNow);
  }
  Admission::Effects effects;
  DispatchInOrder(aFront, aNow, effects);
  return effects;
}

} // namespace Measure

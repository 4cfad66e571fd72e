#include "measure/floodfront.h"

namespace Measure {

namespace {

constexpr size_t kMaxQueuedForSlot = 16;

void
DispatchInOrder(UpstreamScheduler& aScheduler, Base::TimePoint aNow, Admission::Effects& aEffects)
{
  while (!aScheduler.mQueue.empty() && aScheduler.mRunning.size() < aScheduler.mSlots) {
    const Admission::WorkItem item = aScheduler.mQueue.front();
    aScheduler.mQueue.pop_front();
    if (item.mDeadline <= aNow) {
      aEffects.mRefuse.push_back({ item.mId, Admission::RefusalReason::DeadlinePassed });
      continue;
    }
    aScheduler.mRunning.insert(item.mId);
    aEffects.mDispatch.push_back(item);
  }
}

} // namespace

const char*
ControlName(AdmissionControl aControl)
{
  switch (aControl) {
    case AdmissionControl::Policy:
      return "policy";
    case AdmissionControl::SingleLimit:
      return "single limit";
    case AdmissionControl::RoundRobin:
      return "round robin";
  }
  return "";
}

Admission::Effects
OfferTo(UpstreamScheduler& aScheduler,
        const Admission::Policy& aPolicy,
        const Admission::WorkItem& aItem,
        Base::TimePoint aNow)
{
  if (aScheduler.mControl == AdmissionControl::Policy) {
    return Admission::Offer(aScheduler.mPolicyScheduler, aPolicy, aItem, aNow);
  }
  Admission::Effects effects;
  if (aScheduler.mControl == AdmissionControl::RoundRobin) {
    effects.mDispatch.push_back(aItem);
  } else if (aScheduler.mQueue.size() >= kMaxQueuedForSlot * aScheduler.mSlots) {
    effects.mRefuse.push_back({ aItem.mId, Admission::RefusalReason::QueueFull });
  } else {
    aScheduler.mQueue.push_back(aItem);
    DispatchInOrder(aScheduler, aNow, effects);
  }
  return effects;
}

Admission::Effects
FinishAt(UpstreamScheduler& aScheduler,
         const Admission::Policy& aPolicy,
         uint64_t aId,
         Admission::WorkOutcome aOutcome,
         Base::TimePoint aNow)
{
  if (aScheduler.mControl == AdmissionControl::Policy) {
    return Admission::Finish(aScheduler.mPolicyScheduler, aPolicy, aId, aOutcome, aNow);
  }
  Admission::Effects effects;
  aScheduler.mRunning.erase(aId);
  DispatchInOrder(aScheduler, aNow, effects);
  return effects;
}

Admission::Effects
TickScheduler(UpstreamScheduler& aScheduler, const Admission::Policy& aPolicy, Base::TimePoint aNow)
{
  if (aScheduler.mControl == AdmissionControl::Policy) {
    return Admission::Tick(aScheduler.mPolicyScheduler, aPolicy, aNow);
  }
  Admission::Effects effects;
  DispatchInOrder(aScheduler, aNow, effects);
  return effects;
}

} // namespace Measure

#include "fleet/entryevents.h"
#include "fleet/entrynode.h"

namespace Fleet {

void
EntryNode::UpdateOutliers(Base::TimePoint aNow)
{
  const std::vector<Steering::OutlierChange> changes = Steering::UpdateOutliers(
    mState.mOutliers, mState.mLoads, mState.mDirectory, mState.mRoutes, mState.mInstances, aNow);
  for (const Steering::OutlierChange& change : changes) {
    if (change.mIsEjected) {
      mEjectionsCounter.Add();
    }
    mEvents.Add(OutlierLine(change), aNow);
  }
  mEjectedGauge.Set(static_cast<int64_t>(Steering::CountEjected(mState.mOutliers)));
}

} // namespace Fleet

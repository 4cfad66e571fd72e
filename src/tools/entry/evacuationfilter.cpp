#include "evacuationfilter.h"

namespace Entry {

void
ApplyEvacuations(const Steering::Evacuations& aEvacuations,
                 Base::TimePoint aNow,
                 Membership::View& aView)
{
  for (Membership::Upstream& upstream : aView.mUpstreams) {
    upstream.mNewWorkShare =
      Steering::ShareOfNewFlows(aEvacuations, upstream.mAvailabilityZone, aNow);
  }
}

} // namespace Entry

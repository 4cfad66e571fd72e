#include "placement/upstreams.h"

#include <algorithm>

namespace Placement {

Upstreams
UpdateUpstreams(const Upstreams& aPrevious,
                const Membership::View& aView,
                Base::ServiceGeneration aGeneration,
                Base::TimePoint aNow)
{
  Upstreams result;
  for (const Membership::Upstream& upstream : aView.mUpstreams) {
    if (upstream.mGeneration != aGeneration) {
      continue;
    }
    UpstreamStatus status;
    status.mEndpoint = upstream.mEndpoint;
    status.mWeight = upstream.mSlots;
    status.mUsableFrom = upstream.mUsableFrom;
    status.mLeaseEnd = upstream.mLeaseEnd;
    status.mDraining =
      upstream.mState == Membership::UpstreamState::Draining || upstream.mNewWorkShare <= 0;
    status.mNewWorkShare = upstream.mNewWorkShare;
    const UpstreamStatus* known = FindUpstream(aPrevious, upstream.mEndpoint);
    const bool wasDraining = known != nullptr && known->mDraining;
    status.mDrainingSince = wasDraining ? known->mDrainingSince : aNow;
    result.push_back(status);
  }
  return result;
}

const UpstreamStatus*
FindUpstream(const Upstreams& aUpstreams, const Base::Endpoint& aEndpoint)
{
  const auto found =
    std::lower_bound(aUpstreams.begin(),
                     aUpstreams.end(),
                     aEndpoint,
                     [](const UpstreamStatus& aStatus, const Base::Endpoint& aOther) {
                       return aStatus.mEndpoint < aOther;
                     });
  const bool isFound = found != aUpstreams.end() && found->mEndpoint == aEndpoint;
  return isFound ? &*found : nullptr;
}

bool
IsUsable(const UpstreamStatus& aUpstream, Base::TimePoint aNow)
{
  return aNow >= aUpstream.mUsableFrom && aNow < aUpstream.mLeaseEnd;
}

bool
IsActive(const UpstreamStatus& aUpstream, Base::TimePoint aNow)
{
  return !aUpstream.mDraining && IsUsable(aUpstream, aNow);
}

bool
TakesNewFlows(const UpstreamStatus& aUpstream, const Settings& aSettings, Base::TimePoint aNow)
{
  if (!IsUsable(aUpstream, aNow)) {
    return false;
  }
  return !aUpstream.mDraining || aNow - aUpstream.mDrainingSince < aSettings.mDrainGrace;
}

uint64_t
RampedWeight(const UpstreamStatus& aUpstream, const Settings& aSettings, Base::TimePoint aNow)
{
  if (!IsActive(aUpstream, aNow)) {
    return 0;
  }
  const uint64_t steps = std::max<uint32_t>(aSettings.mRampSteps, 1);
  const Base::Duration age = aNow - aUpstream.mUsableFrom;
  const auto passed =
    static_cast<uint64_t>(aSettings.mRampDuration.count() > 0
                            ? age * static_cast<int64_t>(steps) / aSettings.mRampDuration
                            : steps);
  // Whole steps, because each change of a weight moves slots.
  const auto zoneSteps =
    static_cast<uint64_t>(aUpstream.mNewWorkShare * static_cast<double>(steps));
  // At least one step, because an upstream without slots gets no traffic to warm up.
  const uint64_t allowed = std::max<uint64_t>(zoneSteps, 1);
  return aUpstream.mWeight * std::min({ passed + 1, steps, allowed });
}

} // namespace Placement

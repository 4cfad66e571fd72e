#pragma once

#include "membership/view.h"
#include "placement/settings.h"

#include <vector>

namespace Placement {

/// An upstream of one service as one instance knows it.
struct UpstreamStatus
{
  Base::Endpoint mEndpoint;
  uint32_t mWeight = 0;
  Base::TimePoint mUsableFrom;
  Base::TimePoint mLeaseEnd;
  bool mDraining = false;
  /// When this instance first saw it drain.
  Base::TimePoint mDrainingSince;
};

/// Upstreams of one service generation by endpoint. Each instance derives its own from membership.
using Upstreams = std::vector<UpstreamStatus>;

/// \param aPrevious keeps the time at which a drain was first seen.
/// \return the upstreams of this generation in the view.
Upstreams
UpdateUpstreams(const Upstreams& aPrevious,
                const Membership::View& aView,
                Base::ServiceGeneration aGeneration,
                Base::TimePoint aNow);

/// \return the upstream, or nullptr.
const UpstreamStatus*
FindUpstream(const Upstreams& aUpstreams, const Base::Endpoint& aEndpoint);

/// \return true if packets of established flows may be sent to it.
bool
IsUsable(const UpstreamStatus& aUpstream, Base::TimePoint aNow);

/// \return true if it is not draining and usable.
bool
IsActive(const UpstreamStatus& aUpstream, Base::TimePoint aNow);

/// \return true if new flows of its slots still go to it: it is active or its drain is so recent
/// that other instances may not know of it.
bool
TakesNewFlows(const UpstreamStatus& aUpstream, const Settings& aSettings, Base::TimePoint aNow);

/// \return its weight for the planner: 0 unless it is active, and less than its full weight during
/// slow start.
uint64_t
RampedWeight(const UpstreamStatus& aUpstream, const Settings& aSettings, Base::TimePoint aNow);

} // namespace Placement

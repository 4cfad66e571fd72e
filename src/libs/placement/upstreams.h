#pragma once

#include "membership/view.h"
#include "placement/settings.h"

#include <vector>

namespace Placement {

/// State of an upstream of one service as seen by this instance.
struct UpstreamStatus
{
  Base::Endpoint mEndpoint;
  uint32_t mWeight = 0;
  Base::TimePoint mUsableFrom;
  Base::TimePoint mLeaseEnd;
  /// True also while the availability zone of the upstream is evacuated.
  bool mDraining = false;
  /// See Membership::Upstream.
  double mNewWorkShare = 1;
  /// Time at which this instance first saw the upstream draining.
  Base::TimePoint mDrainingSince;
};

/// Upstreams of one service generation, sorted by endpoint. Derived from the membership view.
using Upstreams = std::vector<UpstreamStatus>;

/// \param aPrevious provides the times at which drains were first seen.
/// \return the upstreams of this generation in the view.
Upstreams
UpdateUpstreams(const Upstreams& aPrevious,
                const Membership::View& aView,
                Base::ServiceGeneration aGeneration,
                Base::TimePoint aNow);

/// \return the upstream, or nullptr.
const UpstreamStatus*
FindUpstream(const Upstreams& aUpstreams, const Base::Endpoint& aEndpoint);

/// \return true if packets of established flows may be sent to the upstream.
bool
IsUsable(const UpstreamStatus& aUpstream, Base::TimePoint aNow);

/// \return true if the upstream is usable and not draining.
bool
IsActive(const UpstreamStatus& aUpstream, Base::TimePoint aNow);

/// \return true if new flows of its slots still go to the upstream: it is active, or its drain is
/// so recent that other instances may not know of it.
bool
TakesNewFlows(const UpstreamStatus& aUpstream, const Settings& aSettings, Base::TimePoint aNow);

/// \return the upstream's weight for the planner: 0 unless it is active, reduced during the
/// slow start of the upstream and that of its availability zone after an evacuation.
uint64_t
RampedWeight(const UpstreamStatus& aUpstream, const Settings& aSettings, Base::TimePoint aNow);

} // namespace Placement

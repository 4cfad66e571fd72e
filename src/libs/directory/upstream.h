#pragma once

#include "base/endpoint.h"
#include "base/runtimeclock.h"
#include "base/strongtype.h"

#include "fleet.pb.h"

#include <cstdint>
#include <string>

namespace Directory {

/// Identifies an upstream across restarts.
using UpstreamId = Base::StrongType<struct UpstreamIdTag, uint64_t>;

/// Identifies one start of an upstream in the packets of its flows. 0 means no upstream.
using RouteTag = Base::StrongType<struct RouteTagTag, uint32_t>;

/// State of one start of an upstream. It only advances, from Ready to Draining to Gone.
enum class State
{
  Ready,
  Draining,
  Gone
};

/// Properties that an upstream announces.
struct Upstream
{
  UpstreamId mId;
  /// Milliseconds since 1970 on the upstream's clock. Another start with the same id counts as
  /// another upstream, because it has none of the earlier flows.
  uint64_t mStartedAtMs = 0;
  Base::Endpoint mAddress;
  std::string mService;
  std::string mAvailabilityZone;
  /// Number of requests that it processes concurrently.
  uint32_t mSlots = 1;
  State mState = State::Ready;
  /// Time until which it is slower because of its cold start.
  Base::TimePoint mColdUntil;
};

/// \return the tag of this start of the upstream.
RouteTag
TagOf(UpstreamId aId, uint64_t aStartedAtMs);

/// Converts an upstream to the wire format.
/// \param aAge is the time since its latest announcement.
lw::fleet::Upstream
ToMessage(const Upstream& aUpstream, Base::Duration aAge, Base::TimePoint aNow);

/// Converts an upstream from the wire format. Unknown states are read as Gone.
Upstream
FromMessage(const lw::fleet::Upstream& aMessage, Base::TimePoint aNow);

} // namespace Directory

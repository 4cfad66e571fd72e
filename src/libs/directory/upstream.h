#pragma once

#include "base/endpoint.h"
#include "base/runtimeclock.h"
#include "base/strongtype.h"

#include "fleet.pb.h"

#include <cstdint>
#include <string>

namespace Directory {

/// Number that an upstream announces itself under.
using UpstreamId = Base::StrongType<struct UpstreamIdTag, uint64_t>;

/// Names one start of an upstream in the packets of its flows. 0 names none.
using RouteTag = Base::StrongType<struct RouteTagTag, uint32_t>;

/// Advances only from Ready to Draining to Gone within one start of an upstream.
enum class State
{
  Ready,
  Draining,
  Gone
};

/// What an upstream says of itself.
struct Upstream
{
  UpstreamId mId;
  /// Milliseconds since 1970 by the upstream's clock. Another start under the same id is another
  /// upstream: it holds none of the earlier flows.
  uint64_t mStartedAtMs = 0;
  Base::Endpoint mAddress;
  std::string mService;
  std::string mAvailabilityZone;
  /// Requests that it works on at the same time.
  uint32_t mSlots = 1;
  State mState = State::Ready;
  /// It works more slowly until then.
  Base::TimePoint mColdUntil;
};

/// \return the tag of this start of the upstream.
RouteTag
TagOf(UpstreamId aId, uint64_t aStartedAtMs);

/// \param aAge is the time since its newest announcement.
lw::fleet::Upstream
ToMessage(const Upstream& aUpstream, Base::Duration aAge, Base::TimePoint aNow);

/// Reads a message of a control instance; unknown states count as gone.
Upstream
FromMessage(const lw::fleet::Upstream& aMessage, Base::TimePoint aNow);

} // namespace Directory

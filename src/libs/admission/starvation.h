#pragma once

#include "base/runtimeclock.h"

#include <cstddef>

namespace Admission {

/// A kind or client with queued work that waited this long is served at the next free slot,
/// whatever its share is. Of several such queues one is served in each StarvationInterval, the
/// longest waiting first; the head of a queue therefore waits at most this bound, plus the interval
/// for each other starving queue, plus the wait for a slot.
constexpr Base::Duration kStarvationBound = std::chrono::seconds(5);

/// Limits how often the rule against starvation is used, so that many queues without a share do not
/// take the guarantees of others together. Owned by the upstream's dispatcher; fixed size; starts
/// anew at a new dispatcher.
struct StarvationTurn
{
  Base::TimePoint mNext;
};

/// \return true if a queue that waits since the given time is served now.
bool
IsStarvationTurn(const StarvationTurn& aTurn, Base::TimePoint aWaitingSince, Base::TimePoint aNow);

/// \param aMean is the mean slot time of the served work.
/// \return time between two uses of the rule, in which the work takes at most a seventh of the
/// slots.
Base::Duration
StarvationInterval(Base::Duration aMean, size_t aLimit);

} // namespace Admission

#pragma once

#include "base/runtimeclock.h"

#include <cstddef>

namespace Admission {

/// A kind or client whose queued work has waited this long gets the next free slot regardless of
/// its share. If there are several such queues, one is served per StarvationInterval, starting with
/// the longest waiting. The head of a queue therefore waits at most for this time, plus one
/// interval for each other starving queue, plus the time until a slot is free.
constexpr Base::Duration kStarvationBound = std::chrono::seconds(5);

/// Rate limit of starvation prevention, so that many queues without a share cannot together consume
/// the guarantees of others. Held by the dispatcher of the upstream; a new dispatcher starts with
/// an initial state.
struct StarvationState
{
  Base::TimePoint mNext;
};

/// \return true if a queue that has been waiting since the given time must be served now.
bool
IsStarvationServiceDue(const StarvationState& aState,
                       Base::TimePoint aWaitingSince,
                       Base::TimePoint aNow);

/// \param aMean is the mean slot time of the served work.
/// \return the minimum time between two starving items; it limits them to a seventh of the slot
/// time.
Base::Duration
StarvationInterval(Base::Duration aMean, size_t aLimit);

} // namespace Admission

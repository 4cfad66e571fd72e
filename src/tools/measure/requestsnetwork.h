#pragma once

#include "base/random.h"
#include "base/runtimeclock.h"
#include "measure/requestsfakes.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace RequestFakes {

/// Event queue of a simulation, sorted by time.
struct Network
{
  struct Entry
  {
    Base::TimePoint mTime;
    uint64_t mOrder = 0;
    std::function<void()> mAction;
  };
  struct IsLater
  {
    bool operator()(const Entry& aLeft, const Entry& aRight) const
    {
      return aLeft.mTime != aRight.mTime ? aLeft.mTime > aRight.mTime
                                         : aLeft.mOrder > aRight.mOrder;
    }
  };
  Base::RandomSource mRandom;
  Base::TimePoint mNow;
  uint64_t mNextOrder = 0;
  std::priority_queue<Entry, std::vector<Entry>, IsLater> mEntries;
};

/// Runs an action after a delay.
void
ScheduleAfter(Network& aNetwork, Base::Duration aDelay, std::function<void()> aAction);

/// Transmits a packet, which may be lost, duplicated, delayed or reordered.
void
Transmit(Network& aNetwork, const Options& aOptions, const std::function<void()>& aDeliver);

/// \return the options for packets between instances and upstreams.
Options
UpstreamLink(const Options& aOptions);

/// \return true with a probability of aPermille / 1000.
bool
DrawChance(Network& aNetwork, uint32_t aPermille);

/// \return a random duration in [aLow, aHigh).
Base::Duration
DrawDuration(Network& aNetwork, Base::Duration aLow, Base::Duration aHigh);

/// Runs all actions scheduled up to aEnd.
void
RunUntil(Network& aNetwork, Base::TimePoint aEnd);

} // namespace RequestFakes

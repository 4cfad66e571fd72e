#pragma once

#include "base/random.h"
#include "base/runtimeclock.h"
#include "measure/requestsfakes.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace RequestFakes {

/// Timeline of a run: what happens next, in the order of time.
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
After(Network& aNetwork, Base::Duration aDelay, std::function<void()> aAction);

/// Carries a packet: it may be lost, doubled, delayed and overtaken.
void
Carry(Network& aNetwork, const Options& aOptions, const std::function<void()>& aDeliver);

/// \return the options for packets between instances and upstreams.
Options
UpstreamLink(const Options& aOptions);

/// \return true in aPermille of 1000 cases.
bool
Chance(Network& aNetwork, uint32_t aPermille);

/// \return a duration in [aLow, aHigh).
Base::Duration
Between(Network& aNetwork, Base::Duration aLow, Base::Duration aHigh);

/// Runs what is due until aEnd.
void
RunUntil(Network& aNetwork, Base::TimePoint aEnd);

} // namespace RequestFakes

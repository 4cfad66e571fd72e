#pragma once

#include "base/runtimeclock.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <set>

namespace Measure {

/// Upstream that runs work in slots, queues a little more and sheds the rest. Owned by one run;
/// bounded by its slots and backlog.
struct FakeUpstream
{
  uint32_t mSlots = 1;
  std::set<uint64_t> mRunning;
  std::deque<uint64_t> mBacklog;
  /// Slot time of work is multiplied by this.
  double mSlowness = 1;
  std::optional<Base::TimePoint> mColdSince;
  bool mHung = false;
};

enum class Acceptance
{
  Started,
  Queued,
  Shed
};

Acceptance
Accept(FakeUpstream& aUpstream, uint64_t aId);

/// Ends or cancels work.
/// \return work from the backlog that starts now.
std::optional<uint64_t>
End(FakeUpstream& aUpstream, uint64_t aId);

/// \return how long work that starts now holds its slot.
Base::Duration
SlotTime(const FakeUpstream& aUpstream, Base::Duration aService, Base::TimePoint aNow);

/// \return running and queued work, which the upstream reports.
uint32_t
Load(const FakeUpstream& aUpstream);

} // namespace Measure

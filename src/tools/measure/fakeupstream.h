#pragma once

#include "base/runtimeclock.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <set>

namespace Measure {

/// Simulated upstream that runs requests in slots, keeps a bounded backlog and sheds the excess.
/// Owned by one run. Its size is bounded by its slots and backlog.
struct FakeUpstream
{
  uint32_t mSlots = 1;
  std::set<uint64_t> mRunning;
  std::deque<uint64_t> mBacklog;
  /// Multiplies the service time.
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

/// Ends or cancels a request.
/// \return the request from the backlog that takes the free slot, if any.
std::optional<uint64_t>
End(FakeUpstream& aUpstream, uint64_t aId);

/// \return how long a request that starts now occupies its slot.
Base::Duration
SlotTime(const FakeUpstream& aUpstream, Base::Duration aService, Base::TimePoint aNow);

/// \return the number of running and queued requests, as the upstream reports it.
uint32_t
Load(const FakeUpstream& aUpstream);

} // namespace Measure

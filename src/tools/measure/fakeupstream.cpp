#include "measure/fakeupstream.h"

#include <algorithm>

namespace Measure {

namespace {

constexpr size_t kBacklogForSlot = 8;
constexpr Base::Duration kWarmUp = std::chrono::seconds(10);
constexpr double kColdSlowness = 3;

std::optional<uint64_t>
StartFromBacklog(FakeUpstream& aUpstream)
{
  if (aUpstream.mBacklog.empty() || aUpstream.mRunning.size() >= aUpstream.mSlots) {
    return std::nullopt;
  }
  const uint64_t next = aUpstream.mBacklog.front();
  aUpstream.mBacklog.pop_front();
  aUpstream.mRunning.insert(next);
  return next;
}

} // namespace

Acceptance
Accept(FakeUpstream& aUpstream, uint64_t aId)
{
  if (aUpstream.mRunning.size() < aUpstream.mSlots) {
    aUpstream.mRunning.insert(aId);
    return Acceptance::Started;
  }
  if (aUpstream.mBacklog.size() >= kBacklogForSlot * aUpstream.mSlots) {
    return Acceptance::Shed;
  }
  aUpstream.mBacklog.push_back(aId);
  return Acceptance::Queued;
}

std::optional<uint64_t>
End(FakeUpstream& aUpstream, uint64_t aId)
{
  if (aUpstream.mRunning.erase(aId) == 0) {
    auto& backlog = aUpstream.mBacklog;
    backlog.erase(std::remove(backlog.begin(), backlog.end(), aId), backlog.end());
    return std::nullopt;
  }
  return StartFromBacklog(aUpstream);
}

Base::Duration
SlotTime(const FakeUpstream& aUpstream, Base::Duration aService, Base::TimePoint aNow)
{
  double factor = aUpstream.mSlowness;
  if (aUpstream.mColdSince && aNow - *aUpstream.mColdSince < kWarmUp) {
    using Seconds = std::chrono::duration<double>;
    const double warm = Seconds(aNow - *aUpstream.mColdSince) / Seconds(kWarmUp);
    factor *= kColdSlowness - (kColdSlowness - 1) * warm;
  }
  return Base::Duration(static_cast<int64_t>(static_cast<double>(aService.count()) * factor));
}

uint32_t
Load(const FakeUpstream& aUpstream)
{
  return static_cast<uint32_t>(aUpstream.mRunning.size() + aUpstream.mBacklog.size());
}

} // namespace Measure

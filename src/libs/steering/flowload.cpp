#include "steering/flowload.h"

#include <algorithm>
#include <chrono>

namespace Steering {

namespace {

using std::chrono::milliseconds;

/// Bounds of the silence limit. The lower one applies until a flow of the service has closed.
constexpr milliseconds kMinSilenceLimit{ 400 };
constexpr milliseconds kMaxSilenceLimit{ 2500 };
/// Silence limit in mean durations, so that only few slow requests are taken for ended flows.
constexpr int kSilenceLimitMeans = 6;
/// Weight of the latest flow in the mean is 1 / kMeanWeight.
constexpr int kMeanWeight = 16;

} // namespace

void
AddToLoad(LoadTable& aLoads, Flow& aFlow)
{
  if (!aFlow.mCountedInLoad) {
    aFlow.mCountedInLoad = true;
    ++aLoads.mByTag[aFlow.mTag].mOwnFlows;
  }
}

void
RemoveFromLoad(LoadTable& aLoads, Flow& aFlow)
{
  if (aFlow.mCountedInLoad) {
    aFlow.mCountedInLoad = false;
    Load& load = aLoads.mByTag[aFlow.mTag];
    load.mOwnFlows -= std::min(load.mOwnFlows, 1U);
  }
}

void
RecordDuration(FlowDurations& aDurations, const Flow& aFlow, Base::TimePoint aNow)
{
  const Base::Duration duration = aNow - aFlow.mForwardedAt;
  const auto [mean, added] = aDurations.mMeans.try_emplace(aFlow.mService, duration);
  if (!added) {
    mean->second += (duration - mean->second) / kMeanWeight;
  }
}

Base::Duration
MeanDuration(const FlowDurations& aDurations, const std::string& aService)
{
  const auto mean = aDurations.mMeans.find(aService);
  return mean == aDurations.mMeans.end() ? Base::Duration::zero() : mean->second;
}

Base::Duration
SilenceLimit(const FlowDurations& aDurations, const std::string& aService)
{
  return std::clamp<Base::Duration>(
    MeanDuration(aDurations, aService) * kSilenceLimitMeans, kMinSilenceLimit, kMaxSilenceLimit);
}

} // namespace Steering

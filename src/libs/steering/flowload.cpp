#include "steering/flowload.h"

#include <algorithm>
#include <chrono>

namespace Steering {

namespace {

using std::chrono::milliseconds;

/// Bounds of the time for which a request counts as load, and its value before the first answer.
constexpr milliseconds kMinSilenceLimit{ 20 };
constexpr milliseconds kMaxSilenceLimit{ 2500 };
constexpr milliseconds kFirstSilenceLimit{ 400 };
/// Silence limit in mean durations, so that only few slow requests are taken for ended ones.
constexpr int kSilenceLimitMeans = 4;
/// Weight of the latest request in the mean is 1 / kMeanWeight.
constexpr int kMeanWeight = 16;

Base::Duration
SilenceLimit(const ServiceRequests& aService)
{
  if (aService.mMeanDuration == Base::Duration::zero()) {
    return kFirstSilenceLimit;
  }
  return std::clamp<Base::Duration>(
    aService.mMeanDuration * kSilenceLimitMeans, kMinSilenceLimit, kMaxSilenceLimit);
}

void
ForgetSilentFlowsOf(ServiceRequests& aService,
                    LoadTable& aLoads,
                    FlowTable& aFlows,
                    Outliers& aOutliers,
                    Base::TimePoint aNow)
{
  const Base::Duration limit = SilenceLimit(aService);
  std::deque<BusyFlow>& busy = aService.mBusyFlows;
  while (!busy.empty() && aNow - busy.front().mRequestAt > limit) {
    const auto flow = aFlows.mFlows.find(busy.front().mFlow);
    // A later request of the flow has an entry of its own.
    if (flow != aFlows.mFlows.end() && flow->second.mRequestAt == busy.front().mRequestAt) {
      RemoveFromLoad(aLoads, flow->second);
    }
    if (flow != aFlows.mFlows.end() && flow->second.mAwaitsAnswerSince == busy.front().mRequestAt) {
      RecordUnansweredRequest(aOutliers, flow->second.mTag, busy.front().mRequestAt, aNow);
      flow->second.mAwaitsAnswerSince.reset();
    }
    busy.pop_front();
  }
}

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
StartRequest(RequestTable& aRequests,
             LoadTable& aLoads,
             const FlowKey& aKey,
             Flow& aFlow,
             Base::TimePoint aNow)
{
  AddToLoad(aLoads, aFlow);
  aFlow.mRequestAt = aNow;
  aRequests[aFlow.mService].mBusyFlows.push_back({ aKey, aNow });
}

void
FinishRequest(RequestTable& aRequests, LoadTable& aLoads, Flow& aFlow, Base::TimePoint aNow)
{
  if (!aFlow.mCountedInLoad) {
    return;
  }
  RemoveFromLoad(aLoads, aFlow);
  const Base::Duration duration = aNow - aFlow.mRequestAt;
  Base::Duration& mean = aRequests[aFlow.mService].mMeanDuration;
  mean = mean == Base::Duration::zero() ? duration : mean + (duration - mean) / kMeanWeight;
}

void
RecordData(Outliers& aOutliers, Flow& aFlow, uint32_t aSequence, Base::TimePoint aNow)
{
  const bool isCopy =
    aFlow.mHasSentData && static_cast<int32_t>(aSequence - aFlow.mDataSequence) <= 0;
  if (!aOutliers.mEnabled || isCopy) {
    return;
  }
  RecordAnswerTo(aOutliers, aFlow, aNow);
  aFlow.mAwaitsAnswerSince = aNow;
  aFlow.mDataSequence = aSequence;
}

void
RecordAnswerTo(Outliers& aOutliers, Flow& aFlow, Base::TimePoint aNow)
{
  if (aFlow.mAwaitsAnswerSince.has_value()) {
    RecordAnsweredRequest(aOutliers, aFlow.mTag, *aFlow.mAwaitsAnswerSince, aNow);
    aFlow.mAwaitsAnswerSince.reset();
  }
}

Base::Duration
MeanDuration(const RequestTable& aRequests, const std::string& aService)
{
  const auto service = aRequests.find(aService);
  return service == aRequests.end() ? Base::Duration::zero() : service->second.mMeanDuration;
}

void
ForgetSilentFlows(RequestTable& aRequests,
                  LoadTable& aLoads,
                  FlowTable& aFlows,
                  Outliers& aOutliers,
                  Base::TimePoint aNow)
{
  RecordRunning(aOutliers, aNow);
  for (auto& [name, service] : aRequests) {
    ForgetSilentFlowsOf(service, aLoads, aFlows, aOutliers, aNow);
  }
}

} // namespace Steering

#include "steering/assignment.h"
#include "steering/steering.h"

#include <algorithm>
#include <optional>

namespace Steering {

using namespace Internal;

namespace {

/// \return the decision for a flow that was held, or std::nullopt if there is still no room for it.
std::optional<Decision>
ReleaseFlow(State& aState,
            const Settings& aSettings,
            Flow& aFlow,
            bool aIsLate,
            Base::TimePoint aNow)
{
  ForgetSilentFlows(aState.mRequests, aState.mLoads, aState.mFlows, aState.mOutliers, aNow);
  const Choice choice = ChooseFor(aState, aSettings, aFlow, aIsLate, aNow, aState.mRandom);
  if (choice.mSaturated) {
    return std::nullopt;
  }
  return Assign(aState, aSettings, aFlow, choice, Reason::Released, aNow);
}

/// Forgets the flows whose callers have ended their attempt.
void
RemoveExpiredOpenings(State& aState,
                      const Settings& aSettings,
                      OpeningQueue& aQueue,
                      Base::TimePoint aNow)
{
  for (const FlowKey& expired : RemoveExpired(aQueue, aSettings.mOpeningLifetime, aNow)) {
    const auto flow = aState.mFlows.mFlows.find(expired);
    if (flow != aState.mFlows.mFlows.end() && flow->second.mHeld) {
      aState.mFlows.mFlows.erase(flow);
    }
  }
}

/// Forwards the packets of one service while upstreams have room.
void
ReleaseFrom(State& aState,
            const Settings& aSettings,
            OpeningQueue& aQueue,
            Base::TimePoint aNow,
            std::vector<ReleasedPacket>& aReleased)
{
  RemoveExpiredOpenings(aState, aSettings, aQueue, aNow);
  while (const HeldOpening* next = Next(aQueue, aNow)) {
    const auto flow = aState.mFlows.mFlows.find(next->mFlow);
    // The flow may have been opened or replaced by a new one since it was held.
    if (flow != aState.mFlows.mFlows.end() && flow->second.mHeld) {
      const std::optional<Decision> decision =
        ReleaseFlow(aState, aSettings, flow->second, aNow > next->mUsefulUntil, aNow);
      if (!decision.has_value()) {
        return;
      }
      if (decision->mAction != Action::Forward) {
        aState.mFlows.mFlows.erase(flow);
      }
      aReleased.push_back({ next->mFlow, next->mDatagram, *decision, {} });
    }
    RemoveNext(aQueue);
  }
}

} // namespace

bool
HasHeldOpenings(const State& aState)
{
  return std::any_of(aState.mOpeningsByService.begin(),
                     aState.mOpeningsByService.end(),
                     [](const auto& aItem) { return Size(aItem.second) > 0; });
}

std::vector<ReleasedPacket>
ReleaseOpenings(State& aState, const Settings& aSettings, Base::TimePoint aNow)
{
  std::vector<ReleasedPacket> released;
  for (auto& [service, queue] : aState.mOpeningsByService) {
    ReleaseFrom(aState, aSettings, queue, aNow, released);
  }
  return released;
}

} // namespace Steering

#include "steering/routetable.h"

#include <chrono>
#include <utility>

namespace Steering {

bool
Update(RouteTable& aTable, const lw::fleet::RouteUpdate& aUpdate)
{
  const bool complete = aUpdate.base_version() == 0;
  if (aUpdate.version() <= aTable.mVersion ||
      (!complete && aUpdate.base_version() != aTable.mVersion)) {
    return false;
  }
  if (complete) {
    aTable.mRoutes.clear();
  }
  for (const lw::fleet::RouteAddress& removed : aUpdate.removed()) {
    aTable.mRoutes.erase({ removed.address(), static_cast<uint16_t>(removed.port()) });
  }
  for (const lw::config::Route& declared : aUpdate.routes()) {
    Route route;
    for (const lw::config::WeightedService& target : declared.services()) {
      route.mServices.push_back({ target.service(), target.weight() });
    }
    route.mLatencyObjective = std::chrono::milliseconds(declared.latency_objective_ms());
    route.mPriority = declared.priority();
    route.mIsRepeatable =
      declared.kind() == lw::config::IDEMPOTENT || declared.kind() == lw::config::DOWNLOAD;
    aTable.mRoutes[{ declared.address(), static_cast<uint16_t>(declared.port()) }] =
      std::move(route);
  }
  aTable.mVersion = aUpdate.version();
  aTable.mMaxFlowIdleMs = aUpdate.max_flow_idle_ms();
  return true;
}

const std::string&
SelectService(const Route& aRoute, Base::RandomSource& aRandom)
{
  uint64_t total = 0;
  for (const WeightedService& target : aRoute.mServices) {
    total += target.mWeight;
  }
  uint64_t remaining = total == 0 ? 0 : Base::NextBelow(aRandom, total);
  for (const WeightedService& target : aRoute.mServices) {
    if (remaining < target.mWeight) {
      return target.mService;
    }
    remaining -= target.mWeight;
  }
  return aRoute.mServices.front().mService;
}

} // namespace Steering

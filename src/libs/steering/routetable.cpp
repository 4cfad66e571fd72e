#include "steering/routetable.h"

#include <utility>

namespace Steering {

bool
Update(RouteTable& aTable, const lw::config::Declaration& aDeclaration)
{
  if (aDeclaration.version() <= aTable.mVersion) {
    return false;
  }
  std::map<Base::Endpoint, Route> routes;
  for (const lw::config::Route& declared : aDeclaration.routes()) {
    Route route;
    route.mName = declared.name();
    route.mKind = declared.kind();
    route.mLatencyObjectiveMs = declared.latency_objective_ms();
    for (const lw::config::WeightedService& target : declared.services()) {
      route.mServices.push_back({ target.service(), target.weight() });
    }
    routes[{ declared.address(), static_cast<uint16_t>(declared.port()) }] = std::move(route);
  }
  aTable.mVersion = aDeclaration.version();
  aTable.mRoutes = std::move(routes);
  aTable.mMaxFlowIdleMs = aDeclaration.max_flow_idle_ms();
  return true;
}

const std::string&
DrawService(const Route& aRoute, Base::RandomSource& aRandom)
{
  uint64_t total = 0;
  for (const WeightedService& target : aRoute.mServices) {
    total += target.mWeight;
  }
  uint64_t drawn = total == 0 ? 0 : Base::NextBelow(aRandom, total);
  for (const WeightedService& target : aRoute.mServices) {
    if (drawn < target.mWeight) {
      return target.mService;
    }
    drawn -= target.mWeight;
  }
  return aRoute.mServices.front().mService;
}

} // namespace Steering

#pragma once

#include "base/endpoint.h"
#include "base/random.h"

#include "fleet.pb.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Steering {

/// Part of a route's new flows that goes to one service.
struct WeightedService
{
  std::string mService;
  uint32_t mWeight = 0;
};

/// Where new flows to an address may go.
struct Route
{
  std::vector<WeightedService> mServices;
};

/// Routes of the declared configuration in force at an entry instance. Bounded by the
/// configuration; polled again after a restart.
struct RouteTable
{
  uint64_t mVersion = 0;
  std::map<Base::Endpoint, Route> mRoutes;
  uint32_t mMaxFlowIdleMs = 0;
};

/// Takes routes into force if their version is higher. A difference to another version than the one
/// in force is left out; the routes are polled again.
/// \return true if they are in force now and were not before.
bool
Update(RouteTable& aTable, const lw::fleet::RouteUpdate& aUpdate);

/// \return one of the route's services, drawn by weight.
const std::string&
DrawService(const Route& aRoute, Base::RandomSource& aRandom);

} // namespace Steering

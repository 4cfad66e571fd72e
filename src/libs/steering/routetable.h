#pragma once

#include "base/endpoint.h"
#include "base/random.h"

#include "config.pb.h"

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
  std::string mName;
  std::vector<WeightedService> mServices;
  lw::config::RequestKind mKind = lw::config::REQUEST_KIND_UNSPECIFIED;
  uint32_t mLatencyObjectiveMs = 0;
};

/// Routes of the declared configuration in force at an entry instance. Bounded by the
/// configuration; polled again after a restart.
struct RouteTable
{
  uint64_t mVersion = 0;
  std::map<Base::Endpoint, Route> mRoutes;
  uint32_t mMaxFlowIdleMs = 0;
};

/// Takes a declaration into force if its version is higher.
/// \return true if it is in force now and was not before.
bool
Update(RouteTable& aTable, const lw::config::Declaration& aDeclaration);

/// \return one of the route's services, drawn by weight.
const std::string&
DrawService(const Route& aRoute, Base::RandomSource& aRandom);

} // namespace Steering

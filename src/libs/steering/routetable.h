#pragma once

#include "base/endpoint.h"
#include "base/random.h"
#include "base/runtimeclock.h"

#include "fleet.pb.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Steering {

/// A service of a route and its share of the route's new flows.
struct WeightedService
{
  std::string mService;
  uint32_t mWeight = 0;
};

/// Services that receive the new flows to an address.
struct Route
{
  std::vector<WeightedService> mServices;
  /// Time from the opening of a flow in which its request should be answered, or 0 if unknown.
  Base::Duration mLatencyObjective{};
  /// 0 is the most urgent.
  uint32_t mPriority = 0;
  /// True if the requests are idempotent or downloads, so that callers can repeat them.
  bool mIsRepeatable = false;
};

/// Routes of the configuration in force at an entry instance. Its size is bounded by the
/// configuration; after a restart it is fetched again.
struct RouteTable
{
  uint64_t mVersion = 0;
  std::map<Base::Endpoint, Route> mRoutes;
  uint32_t mMaxFlowIdleMs = 0;
};

/// Applies a route update if its version is higher than the one in force. Ignores a delta whose
/// base is not the version in force; the next poll fetches the routes again. \return true if the
/// update was applied.
bool
Update(RouteTable& aTable, const lw::fleet::RouteUpdate& aUpdate);

/// \return one of the route's services, selected at random by weight.
const std::string&
SelectService(const Route& aRoute, Base::RandomSource& aRandom);

} // namespace Steering

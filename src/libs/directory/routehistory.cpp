#include "directory/routehistory.h"

#include <map>
#include <utility>

namespace Directory {

namespace {

/// Even with several new versions per second, an entry instance that polls more than once a second
/// still gets a delta.
constexpr size_t kMaxVersions = 16;

using RouteKey = std::pair<uint32_t, uint32_t>;
using RoutesByKey = std::map<RouteKey, std::string>;

RoutesByKey
IndexByKey(const lw::fleet::RouteUpdate& aComplete)
{
  RoutesByKey routes;
  for (const lw::config::Route& route : aComplete.routes()) {
    routes[{ route.address(), route.port() }] = route.SerializeAsString();
  }
  return routes;
}

/// Copies only the fields that steering needs. The complete route, with names and limits, is
/// several times as large.
lw::config::Route
ToSteeringRoute(const lw::config::Route& aRoute)
{
  lw::config::Route route;
  route.set_address(aRoute.address());
  route.set_port(aRoute.port());
  *route.mutable_services() = aRoute.services();
  route.set_latency_objective_ms(aRoute.latency_objective_ms());
  route.set_priority(aRoute.priority());
  route.set_kind(aRoute.kind());
  return route;
}

} // namespace

void
AddVersion(RouteHistory& aHistory, const lw::config::Declaration& aDeclaration)
{
  if (aDeclaration.version() <= NewestVersion(aHistory)) {
    return;
  }
  lw::fleet::RouteUpdate update;
  update.set_version(aDeclaration.version());
  update.set_max_flow_idle_ms(aDeclaration.max_flow_idle_ms());
  for (const lw::config::Route& route : aDeclaration.routes()) {
    *update.add_routes() = ToSteeringRoute(route);
  }
  *update.mutable_cold_starts() = aDeclaration.cold_starts();
  aHistory.mVersions.push_back(std::move(update));
  if (aHistory.mVersions.size() > kMaxVersions) {
    aHistory.mVersions.pop_front();
  }
}

uint64_t
NewestVersion(const RouteHistory& aHistory)
{
  return aHistory.mVersions.empty() ? 0 : aHistory.mVersions.back().version();
}

lw::fleet::RouteUpdate
UpdateFrom(const RouteHistory& aHistory, uint64_t aVersion)
{
  const lw::fleet::RouteUpdate& newest = aHistory.mVersions.back();
  for (const lw::fleet::RouteUpdate& base : aHistory.mVersions) {
    if (base.version() != aVersion) {
      continue;
    }
    lw::fleet::RouteUpdate update;
    update.set_version(newest.version());
    update.set_base_version(aVersion);
    update.set_max_flow_idle_ms(newest.max_flow_idle_ms());
    *update.mutable_cold_starts() = newest.cold_starts();
    RoutesByKey before = IndexByKey(base);
    for (const lw::config::Route& route : newest.routes()) {
      const auto known = before.find({ route.address(), route.port() });
      if (known == before.end() || known->second != route.SerializeAsString()) {
        *update.add_routes() = route;
      }
      if (known != before.end()) {
        before.erase(known);
      }
    }
    for (const auto& [key, route] : before) {
      lw::fleet::RouteAddress* removed = update.add_removed();
      removed->set_address(key.first);
      removed->set_port(key.second);
    }
    return update;
  }
  return newest;
}

} // namespace Directory

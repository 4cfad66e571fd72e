#include "directory/routehistory.h"

#include <CppUTest/TestHarness.h>

#include <set>

namespace {

lw::config::Declaration
MakeDeclaration(uint64_t aVersion, const std::set<uint32_t>& aPorts)
{
  lw::config::Declaration declaration;
  declaration.set_version(aVersion);
  for (const uint32_t port : aPorts) {
    lw::config::Route* route = declaration.add_routes();
    route->set_name("omitted from updates");
    route->set_address(1);
    route->set_port(port);
    route->add_services()->set_service("desk");
  }
  return declaration;
}

} // namespace

TEST_GROUP(RouteHistory)
{
  Directory::RouteHistory mHistory;
};

// Guards against sending the complete configuration at each change, which takes a second on a slow
// link.
TEST(RouteHistory, KnownVersionGetsADelta)
{
  Directory::AddVersion(mHistory, MakeDeclaration(3, { 1, 2, 3 }));
  Directory::AddVersion(mHistory, MakeDeclaration(5, { 2, 3, 4 }));
  const lw::fleet::RouteUpdate update = Directory::UpdateFrom(mHistory, 3);
  LONGS_EQUAL(3, update.base_version());
  LONGS_EQUAL(5, update.version());
  LONGS_EQUAL(1, update.routes_size());
  LONGS_EQUAL(4, update.routes(0).port());
  LONGS_EQUAL(1, update.removed_size());
  LONGS_EQUAL(1, update.removed(0).port());
}

// Guards against a delta that omits a changed route.
TEST(RouteHistory, ChangedServiceIsPartOfTheDelta)
{
  lw::config::Declaration declaration = MakeDeclaration(3, { 1, 2 });
  Directory::AddVersion(mHistory, declaration);
  declaration.set_version(4);
  declaration.mutable_routes(1)->mutable_services(0)->set_weight(7);
  Directory::AddVersion(mHistory, declaration);
  LONGS_EQUAL(1, Directory::UpdateFrom(mHistory, 3).routes_size());
}

// Guards against a cold-start rate limit that entry instances do not learn of, or that they keep
// after it was removed, because they get deltas only.
TEST(RouteHistory, ColdStartsAreAlwaysComplete)
{
  lw::config::Declaration declaration = MakeDeclaration(3, { 1 });
  Directory::AddVersion(mHistory, declaration);
  declaration.set_version(4);
  lw::config::ColdStart* coldStart = declaration.add_cold_starts();
  coldStart->set_service("desk");
  coldStart->set_duration_ms(9000);
  coldStart->set_requests_per_second(2.5);
  Directory::AddVersion(mHistory, declaration);
  declaration.set_version(5);
  Directory::AddVersion(mHistory, declaration);
  for (const uint64_t base : { 0, 3, 4 }) {
    const lw::fleet::RouteUpdate update = Directory::UpdateFrom(mHistory, base);
    LONGS_EQUAL(base, update.base_version());
    LONGS_EQUAL(1, update.cold_starts_size());
    STRCMP_EQUAL("desk", update.cold_starts(0).service().c_str());
    LONGS_EQUAL(9000, update.cold_starts(0).duration_ms());
    DOUBLES_EQUAL(2.5, update.cold_starts(0).requests_per_second(), 0);
  }
  declaration.set_version(6);
  declaration.clear_cold_starts();
  Directory::AddVersion(mHistory, declaration);
  LONGS_EQUAL(0, Directory::UpdateFrom(mHistory, 5).cold_starts_size());
}

// Guards against a delta from an unknown version, and against a history that accepts an older
// version.
TEST(RouteHistory, UnknownVersionGetsAllRoutes)
{
  Directory::AddVersion(mHistory, MakeDeclaration(5, { 1, 2 }));
  Directory::AddVersion(mHistory, MakeDeclaration(4, { 1 }));
  const lw::fleet::RouteUpdate update = Directory::UpdateFrom(mHistory, 4);
  LONGS_EQUAL(0, update.base_version());
  LONGS_EQUAL(2, update.routes_size());
  CHECK_TRUE(update.routes(0).name().empty());
}

// Guards against a history that grows without bound.
TEST(RouteHistory, HistoryIsBounded)
{
  for (uint64_t version = 1; version <= 100; ++version) {
    Directory::AddVersion(mHistory, MakeDeclaration(version, { 1 }));
  }
  CHECK_TRUE(mHistory.mVersions.size() <= 16);
  LONGS_EQUAL(100, Directory::NewestVersion(mHistory));
}

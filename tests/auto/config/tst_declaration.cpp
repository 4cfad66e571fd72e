#include "config/logstate.h"
#include "config/statemachine.h"
#include "config/validation.h"

#include <CppUTest/TestHarness.h>

#include <limits>

namespace {

lw::config::Declaration
MakeDeclaration(uint64_t aVersion)
{
  lw::config::Declaration declaration;
  declaration.set_version(aVersion);
  declaration.add_services("desk");
  lw::config::Route* route = declaration.add_routes();
  route->set_name("r");
  route->set_address(0x0a000001);
  route->set_port(80);
  route->set_timeout_ms(1000);
  lw::config::WeightedService* target = route->add_services();
  target->set_service("desk");
  target->set_weight(1);
  declaration.set_document("text " + std::to_string(aVersion));
  return declaration;
}

lw::config::Change
Declare(const lw::config::Declaration& aDeclaration)
{
  lw::config::Change change;
  change.set_operator_id(Config::kControlOperatorId);
  *change.mutable_declare() = aDeclaration;
  return change;
}

lw::config::Change
Depart(uint64_t aUpstream, uint64_t aStart)
{
  lw::config::Change change;
  change.set_operator_id(Config::kControlOperatorId);
  change.mutable_depart()->set_upstream(aUpstream);
  change.mutable_depart()->set_started_at_ms(aStart);
  return change;
}

} // namespace

TEST_GROUP(Declaration)
{
  lw::config::State mState;
};

// Guards against an older configuration that replaces a newer one, and against different content
// for a version that was already accepted.
TEST(Declaration, OnlyAHigherVersionTakesEffect)
{
  CHECK_TRUE(Config::ApplyChange(mState, Declare(MakeDeclaration(7))).ok());
  CHECK_TRUE(Config::ApplyChange(mState, Declare(MakeDeclaration(5))).ok());
  LONGS_EQUAL(7, mState.declaration().version());
  lw::config::Declaration other = MakeDeclaration(7);
  other.set_document("other");
  CHECK_TRUE(Config::ApplyChange(mState, Declare(other)).ok());
  STRCMP_EQUAL("text 7", mState.declaration().document().c_str());
  CHECK_TRUE(Config::ApplyChange(mState, Declare(MakeDeclaration(9))).ok());
  LONGS_EQUAL(9, mState.declaration().version());
}

// Guards against acknowledging a configuration that cannot take effect.
TEST(Declaration, InvalidOnesAreRefused)
{
  const struct
  {
    const char* mName;
    void (*mInvalidate)(lw::config::Declaration&);
  } rows[] = {
    { "no version", [](lw::config::Declaration& aValue) { aValue.set_version(0); } },
    { "unknown service",
      [](lw::config::Declaration& aValue) {
        aValue.mutable_routes(0)->mutable_services(0)->set_service("x");
      } },
    { "same address twice",
      [](lw::config::Declaration& aValue) { *aValue.add_routes() = aValue.routes(0); } },
    { "no timeout",
      [](lw::config::Declaration& aValue) { aValue.mutable_routes(0)->set_timeout_ms(0); } },
    { "no weight",
      [](lw::config::Declaration& aValue) {
        aValue.mutable_routes(0)->mutable_services(0)->set_weight(0);
      } },
    { "service twice", [](lw::config::Declaration& aValue) { aValue.add_services("desk"); } },
    { "no port", [](lw::config::Declaration& aValue) { aValue.mutable_routes(0)->set_port(0); } },
  };
  CHECK_TRUE(Config::ValidateDeclaration(MakeDeclaration(1)).ok());
  for (const auto& row : rows) {
    lw::config::Declaration declaration = MakeDeclaration(1);
    row.mInvalidate(declaration);
    CHECK_TRUE_TEXT(absl::IsInvalidArgument(Config::ValidateDeclaration(declaration)), row.mName);
    CHECK_FALSE_TEXT(Config::ApplyChange(mState, Declare(declaration)).ok(), row.mName);
  }
  LONGS_EQUAL(0, mState.version());
}

// Guards against a rate limit for another service than the operator meant, and against a rate that
// the entry instances can't apply.
TEST(Declaration, InvalidColdStartsAreRefused)
{
  const struct
  {
    const char* mService;
    double mRate;
    bool mValid;
  } rows[] = { { "desk", 0, true },
               { "desk", 0.5, true },
               { "other", 1, false },
               { "", 1, false },
               { "desk", -0.1, false },
               { "desk", std::numeric_limits<double>::infinity(), false },
               { "desk", std::numeric_limits<double>::quiet_NaN(), false } };
  for (const auto& row : rows) {
    lw::config::Declaration declaration = MakeDeclaration(1);
    lw::config::ColdStart* coldStart = declaration.add_cold_starts();
    coldStart->set_service(row.mService);
    coldStart->set_requests_per_second(row.mRate);
    LONGS_EQUAL(row.mValid, Config::ValidateDeclaration(declaration).ok());
  }
  lw::config::Declaration declaration = MakeDeclaration(1);
  declaration.add_cold_starts()->set_service("desk");
  declaration.add_cold_starts()->set_service("desk");
  CHECK_FALSE(Config::ValidateDeclaration(declaration).ok());
}

// Guards against recording a departure again with each call of the upstream, and against operators
// that propose changes reserved for control instances.
TEST(Declaration, DepartureIsRecordedOnce)
{
  CHECK_TRUE(Config::ApplyChange(mState, Depart(1, 10)).ok());
  CHECK_TRUE(Config::ApplyChange(mState, Depart(1, 10)).ok());
  CHECK_TRUE(Config::ApplyChange(mState, Depart(1, 11)).ok());
  LONGS_EQUAL(2, mState.departures_size());
  lw::config::Change foreign = Depart(2, 1);
  foreign.set_operator_id("someone");
  CHECK_FALSE(Config::ApplyChange(mState, foreign).ok());
}

// Guards against unbounded growth of the departures.
TEST(Declaration, OldestDepartureIsForgotten)
{
  constexpr int kMaxDepartures = 4096;
  for (uint64_t upstream = 0; upstream <= kMaxDepartures; ++upstream) {
    CHECK_TRUE(Config::ApplyChange(mState, Depart(upstream, 1)).ok());
  }
  LONGS_EQUAL(kMaxDepartures, mState.departures_size());
  LONGS_EQUAL(1, mState.departures(0).upstream());
}

// Guards against sending every superseded configuration, or revisions with a gap, after a
// declaration.
TEST(Declaration, FollowerBehindADeclarationGetsTheWholeState)
{
  Config::LogState state;
  CHECK_TRUE(Config::ApplyCommand(state, Config::MakeCommand(Depart(1, 1), 1)).ok());
  CHECK_TRUE(Config::ApplyCommand(state, Config::MakeCommand(Declare(MakeDeclaration(3)), 1)).ok());
  CHECK_TRUE(Config::ApplyCommand(state, Config::MakeCommand(Depart(2, 1), 1)).ok());
  CHECK_TRUE(Config::RevisionsAfter(state, 1).has_snapshot());
  LONGS_EQUAL(1, Config::RevisionsAfter(state, 2).revisions_size());
}

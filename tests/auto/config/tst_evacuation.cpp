#include "base/random.h"
#include "config/logstate.h"
#include "config/statemachine.h"
#include "config/validation.h"

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

namespace {

constexpr uint64_t kHourMs = uint64_t{ 3600 } * 1000;

lw::config::Change
Evacuate(const std::string& aZone,
         bool aEvacuated,
         uint64_t aNumber = 0,
         const std::string& aOperator = "op")
{
  lw::config::Change change;
  change.set_operator_id(aNumber == 0 ? Config::kControlOperatorId : aOperator);
  change.set_request_number(aNumber);
  change.mutable_set_evacuation()->set_availability_zone(aZone);
  change.mutable_set_evacuation()->set_evacuated(aEvacuated);
  return change;
}

lw::config::Change
Declare(uint64_t aVersion)
{
  lw::config::Change change;
  change.set_operator_id(Config::kControlOperatorId);
  change.mutable_declare()->set_version(aVersion);
  return change;
}

lw::config::Change
Put(uint64_t aBase, uint64_t aNumber)
{
  lw::config::Change change;
  change.set_base_version(aBase);
  change.set_operator_id("op");
  change.set_request_number(aNumber);
  change.mutable_put_service()->set_name("a");
  change.mutable_put_service()->set_address("192.0.2.1:1");
  change.mutable_put_service()->set_kind(lw::config::OPAQUE);
  return change;
}

std::vector<std::string>
ZonesOf(const lw::config::State& aState)
{
  const auto& zones = aState.evacuations().availability_zones();
  return { zones.begin(), zones.end() };
}

/// Applies all that the log state has after the follower's version, as the configuration feed does.
void
Follow(const Config::LogState& aState, lw::config::State& aFollower)
{
  const lw::feed::PullReply reply = Config::RevisionsAfter(aState, aFollower.version());
  if (reply.has_snapshot()) {
    aFollower = reply.snapshot();
  }
  for (const lw::config::Revision& revision : reply.revisions()) {
    CHECK_TRUE(Config::ApplyRevision(aFollower, revision).ok());
  }
}

/// What an evacuation has to do, in the simplest form.
struct Model
{
  std::set<std::string> mZones;
  uint64_t mRevision = 0;

  void Apply(const std::string& aZone, bool aEvacuated)
  {
    const bool changed = aEvacuated ? mZones.insert(aZone).second : mZones.erase(aZone) != 0;
    mRevision += changed ? 1 : 0;
  }
};

} // namespace

TEST_GROUP(Evacuation)
{
  lw::config::State mState;
};

// Guards against a repeated call that is refused, or that increases the revision and thereby makes
// every entry instance load the list again.
TEST(Evacuation, AChangeThatChangesNothingIsAccepted)
{
  CHECK_TRUE(Config::ApplyChange(mState, Evacuate("zone-b", false)).ok());
  LONGS_EQUAL(0, mState.version());
  CHECK_TRUE(Config::ApplyChange(mState, Evacuate("zone-b", true)).ok());
  CHECK_TRUE(Config::ApplyChange(mState, Evacuate("zone-b", true)).ok());
  CHECK_TRUE(Config::ApplyChange(mState, Evacuate("zone-a", true)).ok());
  LONGS_EQUAL(2, mState.version());
  LONGS_EQUAL(2, mState.evacuations().revision());
  CHECK_TRUE(ZonesOf(mState) == std::vector<std::string>({ "zone-a", "zone-b" }));
  CHECK_TRUE(Config::ApplyChange(mState, Evacuate("zone-b", false)).ok());
  CHECK_TRUE(ZonesOf(mState) == std::vector<std::string>({ "zone-a" }));
  LONGS_EQUAL(3, mState.evacuations().revision());
}

// Guards against a late copy of an operator's request that undoes a later one, also if the first
// request changed nothing.
TEST(Evacuation, ARepeatedRequestNumberGetsTheFirstOutcome)
{
  CHECK_TRUE(*Config::ApplyChange(mState, Evacuate("zone-a", true, 1)) == Base::ConfigVersion(1));
  CHECK_TRUE(*Config::ApplyChange(mState, Evacuate("zone-a", true, 2)) == Base::ConfigVersion(1));
  CHECK_TRUE(*Config::ApplyChange(mState, Evacuate("zone-a", false, 3)) == Base::ConfigVersion(2));
  CHECK_TRUE(*Config::ApplyChange(mState, Evacuate("zone-a", true, 1)) == Base::ConfigVersion(1));
  CHECK_TRUE(*Config::ApplyChange(mState, Evacuate("zone-a", true, 2)) == Base::ConfigVersion(1));
  LONGS_EQUAL(0, mState.evacuations().availability_zones_size());
  // Another operator's number 1 is a different request.
  CHECK_TRUE(Config::ApplyChange(mState, Evacuate("zone-a", true, 1, "other")).ok());
  LONGS_EQUAL(1, mState.evacuations().availability_zones_size());
}

// Guards against changes of which a control instance could not tell a copy from a new request, and
// against names that do not fit the command line and the metrics.
TEST(Evacuation, InvalidChangesAreRefusedWithTheField)
{
  const struct
  {
    const char* mField;
    lw::config::Change mChange;
  } rows[] = {
    { "request_number",
      [] {
        lw::config::Change change = Evacuate("zone-a", true, 1);
        change.clear_request_number();
        return change;
      }() },
    { "request_number",
      [] {
        lw::config::Change change = Evacuate("zone-a", true);
        change.set_request_number(1);
        return change;
      }() },
    { "base_version",
      [] {
        lw::config::Change change = Evacuate("zone-a", true, 1);
        change.set_base_version(1);
        return change;
      }() },
    { "operator_id", Evacuate("zone-a", true, 1, "") },
    { "availability_zone", Evacuate("", true) },
    { "availability_zone", Evacuate("zone a", true) },
    { "availability_zone", Evacuate(std::string(65, 'z'), true) },
  };
  for (const auto& row : rows) {
    const absl::Status status = Config::ApplyChange(mState, row.mChange).status();
    CHECK_TRUE_TEXT(absl::IsInvalidArgument(status), row.mField);
    STRCMP_CONTAINS(row.mField, std::string(status.message()).c_str());
  }
  LONGS_EQUAL(0, mState.version());
}

// Guards against a typing error that is acknowledged although it evacuates nothing.
TEST(Evacuation, OnlyKnownZonesAreAccepted)
{
  const Config::KnownAvailabilityZones known{ { "zone-a", "zone-b" } };
  lw::config::ZoneEvacuation evacuation;
  evacuation.set_availability_zone("zone-b");
  CHECK_TRUE(Config::CheckAvailabilityZone(known, evacuation).ok());
  evacuation.set_availability_zone("zone-x");
  const absl::Status status = Config::CheckAvailabilityZone(known, evacuation);
  CHECK_TRUE(absl::IsInvalidArgument(status));
  STRCMP_CONTAINS("\"zone-x\"; known are: zone-a, zone-b", std::string(status.message()).c_str());
  CHECK_TRUE(Config::CheckAvailabilityZone(std::nullopt, evacuation).ok());
  CHECK_FALSE(Config::CheckAvailabilityZone(std::set<std::string>(), evacuation).ok());
}

// Guards against unbounded growth of the state where every name is accepted.
TEST(Evacuation, TheNumberOfEvacuatedZonesIsBounded)
{
  constexpr int kMaxZones = 256;
  for (int zone = 0; zone < kMaxZones; ++zone) {
    CHECK_TRUE(Config::ApplyChange(mState, Evacuate("z" + std::to_string(zone), true)).ok());
  }
  CHECK_TRUE(
    absl::IsInvalidArgument(Config::ApplyChange(mState, Evacuate("another", true)).status()));
  CHECK_TRUE(Config::ApplyChange(mState, Evacuate("z7", true)).ok());
  CHECK_TRUE(Config::ApplyChange(mState, Evacuate("z7", false)).ok());
  CHECK_TRUE(Config::ApplyChange(mState, Evacuate("another", true)).ok());
}

// Guards against a follower of the configuration feed that stops at a revision because it still
// keeps an outcome with the same number, which the control instances have dropped.
TEST(Evacuation, FollowersDoNotNeedTheOutcomesOfRequestsThatChangedNothing)
{
  constexpr uint64_t kMaxOutcomes = 4096;
  Config::LogState state;
  lw::config::State follower;
  const auto apply = [&](const lw::config::Change& aChange) {
    CHECK_TRUE(Config::ApplyCommand(state, Config::MakeCommand(aChange, kHourMs)).ok());
    Follow(state, follower);
  };
  apply(Evacuate("zone-a", true, 1));
  for (uint64_t number = 2; number <= kMaxOutcomes + 1; ++number) {
    apply(Evacuate("zone-a", true, number));
  }
  apply(Evacuate("zone-a", false, kMaxOutcomes + 2));
  apply(Evacuate("zone-a", true, 1));
  LONGS_EQUAL(3, state.mState.version());
  LONGS_EQUAL(3, follower.version());
  CHECK_TRUE(ZonesOf(follower) == ZonesOf(state.mState));
}

// Guards against states that depend on the order of calls, copies, configurations and snapshots in
// another way than the plain set of zones does, and against followers that differ from the log.
TEST(Evacuation, RandomChangesMatchTheModel)
{
  constexpr uint64_t kSeeds = 200;
  constexpr int kSteps = 150;
  constexpr uint64_t kZones = 4;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Base::RandomSource random{ seed };
    Config::LogState state;
    lw::config::State follower;
    lw::config::State restartedFollower;
    Model model;
    std::vector<lw::config::Change> sent;
    uint64_t declared = 0;
    const auto apply = [&](const lw::config::Change& aChange) {
      return Config::ApplyCommand(state, Config::MakeCommand(aChange, kHourMs));
    };
    for (int step = 0; step < kSteps; ++step) {
      const std::string zone = "zone-" + std::to_string(Base::NextBelow(random, kZones));
      const bool evacuated = Base::NextBelow(random, 2) == 0;
      const uint64_t version = state.mState.version();
      const uint64_t revision = model.mRevision;
      const uint64_t action = Base::NextBelow(random, 7);
      switch (action) {
        case 0:
          CHECK_TRUE(apply(Evacuate(zone, evacuated)).ok());
          model.Apply(zone, evacuated);
          break;
        case 1:
          sent.push_back(Evacuate(zone, evacuated, sent.size() + 1));
          CHECK_TRUE(apply(sent.back()).ok());
          model.Apply(zone, evacuated);
          break;
        case 2:
          if (!sent.empty()) {
            CHECK_TRUE(apply(sent[Base::NextBelow(random, sent.size())]).ok());
            LONGS_EQUAL(version, state.mState.version());
          }
          break;
        case 3:
          declared += Base::NextBelow(random, 2);
          CHECK_TRUE(declared == 0 || apply(Declare(declared)).ok());
          break;
        case 4:
          CHECK_TRUE(apply(Put(version, 1000 + static_cast<uint64_t>(step))).ok());
          break;
        case 5:
          state = *Config::LoadLogState(Config::SaveLogState(state));
          break;
        default:
          Follow(state, follower);
          Follow(state, restartedFollower);
          restartedFollower.Clear();
          break;
      }
      // The version follows the model exactly if the step was an evacuation.
      const uint64_t increase = state.mState.version() - version;
      CHECK_TRUE(increase <= 1);
      CHECK_TRUE(action > 1 || increase == model.mRevision - revision);
      LONGS_EQUAL(model.mRevision, state.mState.evacuations().revision());
      CHECK_TRUE(ZonesOf(state.mState) ==
                 std::vector<std::string>(model.mZones.begin(), model.mZones.end()));
    }
    Follow(state, follower);
    Follow(state, restartedFollower);
    for (lw::config::State* copy : { &follower, &restartedFollower }) {
      // Outcomes of requests that changed nothing are not in revisions.
      copy->clear_outcomes();
      lw::config::State expected = state.mState;
      expected.clear_outcomes();
      CHECK_TRUE(copy->SerializeAsString() == expected.SerializeAsString());
    }
  }
}

#include "fleetmodel.h"

#include <chrono>

#include <CppUTest/TestHarness.h>

using std::chrono::seconds;

namespace {

constexpr seconds kRun{ 200 };
constexpr uint64_t kSeeds = 25;
/// A fault that needs several rare events at once shows in few runs.
constexpr uint64_t kFaultSeeds = 200;

} // namespace

TEST_GROUP(FleetModel){};

// Guards against a departed upstream that gets new flows, a flow that is reset or led to another
// upstream, and a configuration that is late or goes back, in any order of messages, losses, cuts
// and restarts.
TEST(FleetModel, KeepsTheGuaranteesInRandomRuns)
{
  size_t opened = 0;
  size_t departures = 0;
  size_t versions = 0;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    FleetModel model(seed, ModelFault::None);
    model.Run(kRun);
    STRCMP_EQUAL_TEXT("", model.Violation().c_str(), std::to_string(seed).c_str());
    opened += model.mOpened;
    departures += model.mDepartures;
    versions += model.mVersions;
  }
  CHECK_TRUE(opened > 10000);
  CHECK_TRUE(departures > 100);
  CHECK_TRUE(versions > 100);
}

// Guards against checks that cannot fail.
TEST(FleetModel, FindsEachFault)
{
  const struct
  {
    const char* mName;
    ModelFault mFault;
  } rows[] = { { "acknowledged before it is committed", ModelFault::AckBeforeCommit },
               { "unknown tags are reset", ModelFault::ResetUnknownTags },
               { "starts are not told apart", ModelFault::StartsNotToldApart },
               { "late announcements count", ModelFault::LateAnnouncementsCount },
               { "older routes count", ModelFault::OlderRoutesCount },
               { "position kept after a restart", ModelFault::PositionKeptAfterRestart } };
  for (const auto& row : rows) {
    uint64_t found = 0;
    for (uint64_t seed = 1; seed <= kFaultSeeds && found == 0; ++seed) {
      FleetModel model(seed, row.mFault);
      model.Run(kRun);
      found = model.Violation().empty() ? 0 : seed;
    }
    CHECK_TRUE_TEXT(found > 0, row.mName);
  }
}

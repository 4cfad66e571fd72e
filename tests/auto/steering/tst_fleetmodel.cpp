#include "fleetmodel.h"

#include <chrono>

#include <CppUTest/TestHarness.h>

using std::chrono::seconds;

namespace {

constexpr seconds kRun{ 200 };
constexpr uint64_t kSeeds = 25;
/// Some faults need a combination of rare events, so only few seeds expose them.
constexpr uint64_t kFaultSeeds = 200;

} // namespace

TEST_GROUP(FleetModel){};

// Guards against new flows to a departed upstream, flows that are reset or forwarded to another
// upstream, also after a late answer of a second one, and configurations that are late or revert to
// an older version, under random message delays, losses, disconnections and restarts.
TEST(FleetModel, KeepsTheGuaranteesInRandomRuns)
{
  size_t opened = 0;
  size_t departures = 0;
  size_t versions = 0;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    FleetModel model(seed, ModelFault::None, false);
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

// Guards against opening packets to an evacuated availability zone later than kEvacuationBound
// after the commit, evacuations that revert to an older revision, and violations of the other
// guarantees while zones are evacuated and readmitted.
TEST(FleetModel, KeepsTheGuaranteesDuringEvacuations)
{
  size_t opened = 0;
  size_t refused = 0;
  size_t evacuations = 0;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    FleetModel model(seed, ModelFault::None, true);
    model.Run(kRun);
    STRCMP_EQUAL_TEXT("", model.Violation().c_str(), std::to_string(seed).c_str());
    opened += model.mOpened;
    refused += model.mRefused;
    evacuations += model.mEvacuations;
  }
  CHECK_TRUE(opened > 10000);
  CHECK_TRUE(refused > 1000);
  CHECK_TRUE(evacuations > 100);
}

// Guards against ineffective checks: each injected fault must lead to a violation.
TEST(FleetModel, FindsEachFault)
{
  const struct
  {
    const char* mName;
    ModelFault mFault;
    bool mHasEvacuations = false;
  } rows[] = { { "departures are acknowledged before commit", ModelFault::AckBeforeCommit },
               { "unknown tags are reset", ModelFault::ResetUnknownTags },
               { "the start time is ignored", ModelFault::IgnoreStartTime },
               { "late announcements are accepted", ModelFault::AcceptLateAnnouncements },
               { "older routes are accepted", ModelFault::AcceptOlderRoutes },
               { "positions are kept after a restart", ModelFault::KeepPositionAfterRestart },
               { "pins are not reported", ModelFault::KeepPinsToThemselves },
               { "evacuations are ignored", ModelFault::IgnoreEvacuations, true },
               { "older evacuations are accepted", ModelFault::AcceptOlderEvacuations, true } };
  for (const auto& row : rows) {
    uint64_t found = 0;
    for (uint64_t seed = 1; seed <= kFaultSeeds && found == 0; ++seed) {
      FleetModel model(seed, row.mFault, row.mHasEvacuations);
      model.Run(kRun);
      found = model.Violation().empty() ? 0 : seed;
    }
    CHECK_TRUE_TEXT(found > 0, row.mName);
  }
}

#include "measure/choicemeasure.h"

#include <CppUTest/TestHarness.h>

using Measure::ChoiceWay;

TEST_GROUP(ChoiceMeasure){};

// Guards against reports that no longer show an instance the work that its peers placed.
TEST(ChoiceMeasure, ReportsServeBetterThanLocalCounts)
{
  const Measure::ChoiceFigures local = Measure::RunChoice(1, ChoiceWay::LocalCounts, 0.85);
  const Measure::ChoiceFigures reports = Measure::RunChoice(1, ChoiceWay::Reports, 0.85);
  CHECK_TRUE(reports.mInObjective > local.mInObjective);
  CHECK_TRUE(reports.mP99Ms < local.mP99Ms);
}

// Guards against reports that tell only of work that has ended: instances then place flows where
// slots were free, and the flows wait there.
TEST(ChoiceMeasure, ReportsKeepTheObjectiveUnderLoad)
{
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    CHECK_TRUE(Measure::RunChoice(seed, ChoiceWay::Reports, 0.85).mInObjective >= 0.99);
  }
}

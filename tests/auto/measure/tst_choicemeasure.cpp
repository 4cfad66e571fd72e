#include "measure/choicecost.h"
#include "measure/choicemeasure.h"

#include <CppUTest/TestHarness.h>

using Measure::LoadTracking;

TEST_GROUP(ChoiceMeasure){};

// Guards against load reports that omit the work placed by other instances.
TEST(ChoiceMeasure, ReportsOutperformLocalCounts)
{
  const Measure::ChoiceFigures local = Measure::RunChoice(1, LoadTracking::LocalCounts, 0.85);
  const Measure::ChoiceFigures reports = Measure::RunChoice(1, LoadTracking::Reports, 0.85);
  CHECK_TRUE(reports.mWithinObjective > local.mWithinObjective);
  CHECK_TRUE(reports.mP99Ms < local.mP99Ms);
}

// Guards against load reports that cover only completed work: instances then select upstreams
// whose slots are already taken again, and the flows wait in their queues.
TEST(ChoiceMeasure, ReportsMeetTheLatencyObjectiveUnderLoad)
{
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    CHECK_TRUE(Measure::RunChoice(seed, LoadTracking::Reports, 0.85).mWithinObjective >= 0.99);
  }
}

// Guards against a choice that passes over the upstreams of other services. Each service has 80
// upstreams, but the second directory has 100 times as many in total. The bound lies well below
// that factor, and above the cost of cache misses in the larger directory.
TEST(ChoiceMeasure, OtherServicesDoNotAddToTheCost)
{
  const Measure::ChoiceCostFigures few = Measure::RunChoiceCost(1, 160, 2, 2000);
  const Measure::ChoiceCostFigures many = Measure::RunChoiceCost(1, 16000, 200, 2000);
  DOUBLES_EQUAL(few.mCandidates, many.mCandidates, 0);
  CHECK_TRUE(many.mProcessorMicroseconds < 20 * few.mProcessorMicroseconds);
}

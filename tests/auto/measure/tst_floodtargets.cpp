#include "floodchecks.h"

#include "measure/floodreport.h"

#include <CppUTest/TestHarness.h>

TEST_GROUP(FloodTargets){};

// Guards against floods of a kind that take goodput or latency from other work, and
// against imbalance of requests.
TEST(FloodTargets, HoldForTheCounterService)
{
  CheckFloodTargets("counter", FloodOf::Kinds);
}

// Guards against the same with long exports among short work.
TEST(FloodTargets, HoldForTheExportService)
{
  CheckFloodTargets("export", FloodOf::Kinds);
}

// Guards against the same with two slots for each host.
TEST(FloodTargets, HoldForTheTagService)
{
  CheckFloodTargets("tag", FloodOf::Kinds);
}

// Guards against the same with long certificates on two slots.
TEST(FloodTargets, HoldForTheCertificateService)
{
  CheckFloodTargets("certificate", FloodOf::Kinds);
}

// Guards against one client that takes goodput or latency from the others.
TEST(FloodTargets, HoldForAClientFloodOfTheCounterService)
{
  CheckFloodTargets("counter", FloodOf::OneClient);
}

// Guards against the same with long exports.
TEST(FloodTargets, HoldForAClientFloodOfTheExportService)
{
  CheckFloodTargets("export", FloodOf::OneClient);
}

// Guards against figures that cannot be repeated.
TEST(FloodTargets, RepeatWithTheSameSeed)
{
  Measure::FloodSettings settings;
  settings.mLengthFactor = 0.05;
  const Measure::FloodPlan plan = Measure::FloodPlans(kFloodSeed, settings).front();
  for (const Measure::Control control : Measure::kControls) {
    const Measure::FloodResult first = Measure::RunFlood(plan, control);
    const Measure::FloodResult second = Measure::RunFlood(plan, control);
    CHECK_TRUE(first.mRequestsByHost == second.mRequestsByHost);
    CHECK_TRUE(first.mRefusals == second.mRefusals);
    DOUBLES_EQUAL(first.mUsedSeconds, second.mUsedSeconds, 0);
  }
}

// Guards against requests that the measurement loses: each one is answered or counted with a
// reason.
TEST(FloodTargets, AccountForEachRequest)
{
  Measure::FloodSettings settings;
  settings.mLengthFactor = 0.1;
  for (const Measure::FloodPlan& plan : Measure::FaultPlans(kFloodSeed, settings)) {
    for (const Measure::Control control : Measure::kControls) {
      const Measure::FloodResult result = Measure::RunFlood(plan, control);
      uint64_t offered = 0;
      uint64_t ended = 0;
      for (const Measure::StreamResult& stream : result.mStreams) {
        offered += stream.mOffered;
        ended += stream.mAnswered;
      }
      for (const auto& [reason, count] : result.mRefusals) {
        ended += count;
      }
      CHECK_TRUE_TEXT(offered == ended, plan.mName.c_str());
    }
  }
}

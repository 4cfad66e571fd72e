#include "floodchecks.h"

#include "measure/floodreport.h"

#include <CppUTest/TestHarness.h>

TEST_GROUP(FloodTargets){};

// Guards against a flood of one kind of work that degrades the goodput or latency of other kinds,
// and against uneven distribution of requests over hosts.
TEST(FloodTargets, HoldForTheCounterService)
{
  CheckFloodTargets("counter", FloodSource::WorkKind);
}

// Same as above, with long exports among short work.
TEST(FloodTargets, HoldForTheExportService)
{
  CheckFloodTargets("export", FloodSource::WorkKind);
}

// Same as above, with two slots per host.
TEST(FloodTargets, HoldForTheTagService)
{
  CheckFloodTargets("tag", FloodSource::WorkKind);
}

// Same as above, with long work on hosts with two slots.
TEST(FloodTargets, HoldForTheCertificateService)
{
  CheckFloodTargets("certificate", FloodSource::WorkKind);
}

// Guards against a flooding client that degrades the goodput or latency of other clients.
TEST(FloodTargets, HoldForAClientFloodOfTheCounterService)
{
  CheckFloodTargets("counter", FloodSource::OneClient);
}

// Same as above, with long exports among short work.
TEST(FloodTargets, HoldForAClientFloodOfTheExportService)
{
  CheckFloodTargets("export", FloodSource::OneClient);
}

// Guards against results that differ between runs with the same seed.
TEST(FloodTargets, AreReproducibleForASeed)
{
  Measure::FloodSettings settings;
  settings.mLengthFactor = 0.05;
  const Measure::FloodPlan plan = Measure::FloodPlans(kFloodSeed, settings).front();
  for (const Measure::AdmissionControl control : Measure::kAdmissionControls) {
    const Measure::FloodResult first = Measure::RunFlood(plan, control);
    const Measure::FloodResult second = Measure::RunFlood(plan, control);
    CHECK_TRUE(first.mRequestsByHost == second.mRequestsByHost);
    CHECK_TRUE(first.mRefusals == second.mRefusals);
    DOUBLES_EQUAL(first.mUsedSeconds, second.mUsedSeconds, 0);
  }
}

// Guards against requests that the simulation drops silently: each must be answered or counted
// under a failure reason.
TEST(FloodTargets, AccountForEveryRequest)
{
  Measure::FloodSettings settings;
  settings.mLengthFactor = 0.1;
  for (const Measure::FloodPlan& plan : Measure::FaultPlans(kFloodSeed, settings)) {
    for (const Measure::AdmissionControl control : Measure::kAdmissionControls) {
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

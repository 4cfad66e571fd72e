#include "floodchecks.h"

#include "measure/floodreport.h"

#include <CppUTest/TestHarness.h>

namespace {

constexpr double kLengthFactor = 0.5;
constexpr double kTargetFactor = 10;

} // namespace

void
CheckFloodTargets(const std::string& aService, FloodSource aSource)
{
  Measure::FloodSettings settings;
  settings.mLengthFactor = kLengthFactor;
  size_t checked = 0;
  for (const Measure::FloodPlan& plan : Measure::FloodPlans(kFloodSeed, settings)) {
    const bool isClientFlood = !plan.mFlood.mClient.empty();
    if (plan.mService.mName != aService || plan.mFlood.mFactor < kTargetFactor ||
        isClientFlood != (aSource == FloodSource::OneClient)) {
      continue;
    }
    const Measure::Comparison comparison =
      Measure::Compare(plan, Measure::AdmissionControl::Policy);
    const Measure::FloodFigures figures = Measure::FiguresOf(plan, comparison);
    ++checked;
    CHECK_TRUE_TEXT(figures.mGoodputRatio >= Measure::kMinGoodputRatio, plan.mName.c_str());
    CHECK_TRUE_TEXT(figures.mP99Ratio > 0, plan.mName.c_str());
    CHECK_TRUE_TEXT(figures.mP99Ratio <= Measure::kMaxP99Ratio, plan.mName.c_str());
    CHECK_TRUE_TEXT(figures.mImbalance <= Measure::kMaxImbalance, plan.mName.c_str());
  }
  LONGS_EQUAL(aSource == FloodSource::WorkKind ? 2 : 1, checked);
}

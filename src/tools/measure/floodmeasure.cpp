#include "measure/floodmeasure.h"

#include "measure/floodreport.h"

#include <nlohmann/json.hpp>

#include <iostream>

namespace Measure {

namespace {

// The targets apply to floods of at least this factor.
constexpr double kTargetFactor = 10;

/// Runs one plan and prints or records its results.
/// \return false if the policy misses a target that applies to the plan.
bool
MeasurePlan(const FloodPlan& aPlan, bool aJson, nlohmann::json& aDocument)
{
  std::vector<Comparison> comparisons;
  std::vector<FloodFigures> figures;
  for (const AdmissionControl control : kAdmissionControls) {
    comparisons.push_back(Compare(aPlan, control));
    figures.push_back(FiguresOf(aPlan, comparisons.back()));
  }
  if (aJson) {
    nlohmann::json entry = { { "name", aPlan.mName } };
    for (size_t i = 0; i < figures.size(); ++i) {
      entry["controls"].push_back(ToJson(figures[i], comparisons[i]));
    }
    aDocument["experiments"].push_back(entry);
  } else {
    std::cout << ToText(aPlan.mName, figures, comparisons) << std::flush;
  }
  const bool applies = aPlan.mFaults.empty() && aPlan.mFlood.mFactor >= kTargetFactor;
  return !applies || MeetsTargets(figures.front());
}

} // namespace

int
RunFloodMeasure(uint64_t aSeed, bool aJson)
{
  return RunFloodMeasure(aSeed, aJson, FloodSettings());
}

int
RunFloodMeasure(uint64_t aSeed, bool aJson, const FloodSettings& aSettings)
{
  nlohmann::json document = { { "seed", aSeed }, { "load", aSettings.mLoad } };
  std::vector<FloodPlan> plans = FloodPlans(aSeed, aSettings);
  for (FloodPlan& plan : FaultPlans(aSeed, aSettings)) {
    plans.push_back(std::move(plan));
  }
  size_t missed = 0;
  for (const FloodPlan& plan : plans) {
    missed += MeasurePlan(plan, aJson, document) ? 0 : 1;
  }
  document["missed"] = missed;
  if (aJson) {
    std::cout << document.dump(2) << std::endl;
  } else {
    std::cout << "floods at 10 times that miss a target: " << missed << std::endl;
  }
  return missed == 0 ? 0 : 1;
}

} // namespace Measure

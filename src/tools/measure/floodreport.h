#pragma once

#include "measure/floodrun.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace Measure {

/// Results of one plan and one admission control, with and without the flood.
struct Comparison
{
  AdmissionControl mControl = AdmissionControl::Policy;
  FloodResult mWith;
  FloodResult mWithout;
};

/// Metrics derived from a comparison. Ratios are with flood to without flood, for the worst kind of
/// work outside the flood.
struct FloodFigures
{
  double mGoodputRatio = 0;
  double mP99Ratio = 0;
  double mP99WithMs = 0;
  double mP99WithoutMs = 0;
  /// Maximum divided by mean, and coefficient of variation, of the requests per host.
  double mImbalance = 0;
  double mVariation = 0;
  double mWastedFraction = 0;
  /// Longest queue wait of kinds whose mean service time is at least 1 s; 0 if there are none.
  double mLongestQueueWaitSeconds = 0;
};

/// Targets for work outside the flood that stays within its guarantee, see docs/design.md.
constexpr double kMinGoodputRatio = 0.95;
constexpr double kMaxP99Ratio = 2;
constexpr double kMaxImbalance = 1.25;

Comparison
Compare(const FloodPlan& aPlan, AdmissionControl aControl);

FloodFigures
FiguresOf(const FloodPlan& aPlan, const Comparison& aComparison);

/// \return true if the metrics meet all targets.
bool
MeetsTargets(const FloodFigures& aFigures);

/// \return metrics and refusal counts of one admission control.
nlohmann::json
ToJson(const FloodFigures& aFigures, const Comparison& aComparison);

/// \return a human-readable summary that starts with the name of the plan.
std::string
ToText(const std::string& aName,
       const std::vector<FloodFigures>& aFigures,
       const std::vector<Comparison>& aComparisons);

} // namespace Measure

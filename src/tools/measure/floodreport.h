#pragma once

#include "measure/floodrun.h"

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <vector>

namespace Measure {

/// One plan under one control, with the flood and without it.
struct Comparison
{
  Control mControl = Control::Policy;
  FloodResult mWith;
  FloodResult mWithout;
};

/// Figures of a comparison. Ratios are of the worst kind of other work.
struct FloodFigures
{
  double mGoodputRatio = 0;
  double mP99Ratio = 0;
  double mP99WithMs = 0;
  double mP99WithoutMs = 0;
  /// Maximum over mean, and coefficient of variation, of requests by host.
  double mImbalance = 0;
  double mVariation = 0;
  double mWastedPart = 0;
  /// Longest wait of work whose mean slot time is a second or more; 0 without such work.
  double mLongestWaitSeconds = 0;
};

/// Stated targets for other work within its guarantee.
constexpr double kMinGoodputRatio = 0.95;
constexpr double kMaxP99Ratio = 2;
constexpr double kMaxImbalance = 1.25;

Comparison
Compare(const FloodPlan& aPlan, Control aControl);

FloodFigures
FiguresOf(const FloodPlan& aPlan, const Comparison& aComparison);

/// \return true if the figures meet the targets.
bool
MeetsTargets(const FloodFigures& aFigures);

/// \return figures and refusals under one control.
nlohmann::json
ToJson(const FloodFigures& aFigures, const Comparison& aComparison);

/// \return lines for people, the plan's name first.
std::string
ToText(const std::string& aName,
       const std::vector<FloodFigures>& aFigures,
       const std::vector<Comparison>& aComparisons);

} // namespace Measure

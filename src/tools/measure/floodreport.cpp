#include "measure/floodreport.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Measure {

namespace {

struct KindFigures
{
  uint64_t mAnswered = 0;
  std::vector<double> mLatenciesMs;
};

std::map<std::string, KindFigures>
WorkOutsideFloodByKind(const FloodResult& aResult)
{
  std::map<std::string, KindFigures> kinds;
  for (const StreamResult& stream : aResult.mStreams) {
    if (stream.mIsOutsideFlood) {
      KindFigures& kind = kinds[stream.mKind];
      kind.mAnswered += stream.mAnswered;
      kind.mLatenciesMs.insert(
        kind.mLatenciesMs.end(), stream.mLatenciesMs.begin(), stream.mLatenciesMs.end());
    }
  }
  return kinds;
}

double
Percentile99(std::vector<double> aValues)
{
  if (aValues.empty()) {
    return 0;
  }
  const size_t index = (aValues.size() * 99 + 99) / 100 - 1;
  std::nth_element(aValues.begin(), aValues.begin() + static_cast<int64_t>(index), aValues.end());
  return aValues[index];
}

double
Ratio(double aPart, double aWhole)
{
  return aWhole > 0 ? aPart / aWhole : 0;
}

void
AddBalance(const std::vector<double>& aRequests, FloodFigures& aFigures)
{
  if (aRequests.empty()) {
    return;
  }
  const auto count = static_cast<double>(aRequests.size());
  const double mean = std::accumulate(aRequests.begin(), aRequests.end(), 0.0) / count;
  double squares = 0;
  for (const double requests : aRequests) {
    squares += (requests - mean) * (requests - mean);
  }
  aFigures.mImbalance = Ratio(*std::max_element(aRequests.begin(), aRequests.end()), mean);
  aFigures.mVariation = Ratio(std::sqrt(squares / count), mean);
}

double
LongestQueueWait(const FloodPlan& aPlan, const FloodResult& aResult)
{
  double longest = 0;
  for (const FloodKind& kind : aPlan.mService.mKinds) {
    for (const StreamResult& stream : aResult.mStreams) {
      if (stream.mKind == kind.mPolicy.mName && kind.mMeanServiceTime >= std::chrono::seconds(1)) {
        const std::chrono::duration<double> wait = stream.mLongestQueueWait;
        longest = std::max(longest, wait.count());
      }
    }
  }
  return longest;
}

std::string
ReasonsText(const std::map<std::string, uint64_t>& aReasons)
{
  std::string text;
  for (const auto& [reason, count] : aReasons) {
    absl::StrAppend(&text, text.empty() ? "" : ", ", reason, " ", count);
  }
  return text.empty() ? "none" : text;
}

} // namespace

Comparison
Compare(const FloodPlan& aPlan, AdmissionControl aControl)
{
  FloodPlan without = aPlan;
  without.mFlood.mFactor = 0;
  return { aControl, RunFlood(aPlan, aControl), RunFlood(without, aControl) };
}

FloodFigures
FiguresOf(const FloodPlan& aPlan, const Comparison& aComparison)
{
  FloodFigures figures;
  const auto with = WorkOutsideFloodByKind(aComparison.mWith);
  const auto without = WorkOutsideFloodByKind(aComparison.mWithout);
  bool first = true;
  for (const auto& [name, usual] : without) {
    const KindFigures& flooded = with.at(name);
    const double goodput =
      Ratio(static_cast<double>(flooded.mAnswered), static_cast<double>(usual.mAnswered));
    const double p99With = Percentile99(flooded.mLatenciesMs);
    const double p99Without = Percentile99(usual.mLatenciesMs);
    figures.mGoodputRatio = first ? goodput : std::min(figures.mGoodputRatio, goodput);
    if (first || Ratio(p99With, p99Without) > figures.mP99Ratio) {
      figures.mP99Ratio = Ratio(p99With, p99Without);
      figures.mP99WithMs = p99With;
      figures.mP99WithoutMs = p99Without;
    }
    first = false;
  }
  AddBalance(aComparison.mWith.mRequestsByHost, figures);
  figures.mWastedFraction = Ratio(aComparison.mWith.mWastedSeconds, aComparison.mWith.mUsedSeconds);
  figures.mLongestQueueWaitSeconds = LongestQueueWait(aPlan, aComparison.mWith);
  return figures;
}

bool
MeetsTargets(const FloodFigures& aFigures)
{
  // mP99Ratio is 0 if a kind got no answers.
  return aFigures.mGoodputRatio >= kMinGoodputRatio && aFigures.mP99Ratio > 0 &&
         aFigures.mP99Ratio <= kMaxP99Ratio && aFigures.mImbalance <= kMaxImbalance;
}

nlohmann::json
ToJson(const FloodFigures& aFigures, const Comparison& aComparison)
{
  return { { "control", ControlName(aComparison.mControl) },
           { "goodput_ratio", aFigures.mGoodputRatio },
           { "p99_ratio", aFigures.mP99Ratio },
           { "p99_with_ms", aFigures.mP99WithMs },
           { "p99_without_ms", aFigures.mP99WithoutMs },
           { "imbalance", aFigures.mImbalance },
           { "variation", aFigures.mVariation },
           { "wasted_part", aFigures.mWastedFraction },
           { "longest_export_wait_s", aFigures.mLongestQueueWaitSeconds },
           { "refusals", aComparison.mWith.mRefusals },
           { "refusals_of_others", aComparison.mWith.mRefusalsOutsideFlood },
           { "meets_targets", MeetsTargets(aFigures) } };
}

std::string
ToText(const std::string& aName,
       const std::vector<FloodFigures>& aFigures,
       const std::vector<Comparison>& aComparisons)
{
  std::string text = absl::StrCat(aName, "\n");
  for (size_t i = 0; i < aFigures.size(); ++i) {
    const FloodFigures& figures = aFigures[i];
    absl::StrAppendFormat(&text,
                          "  %-12s goodput %.3f  p99 %.1f/%.1f ms = %.2f  imbalance %.3f  "
                          "variation %.3f  wasted %.3f  export wait %.1f s\n",
                          ControlName(aComparisons[i].mControl),
                          figures.mGoodputRatio,
                          figures.mP99WithMs,
                          figures.mP99WithoutMs,
                          figures.mP99Ratio,
                          figures.mImbalance,
                          figures.mVariation,
                          figures.mWastedFraction,
                          figures.mLongestQueueWaitSeconds);
    absl::StrAppend(&text,
                    "    refused: ",
                    ReasonsText(aComparisons[i].mWith.mRefusals),
                    "\n    refused of other work: ",
                    ReasonsText(aComparisons[i].mWith.mRefusalsOutsideFlood),
                    "\n");
  }
  return text;
}

} // namespace Measure

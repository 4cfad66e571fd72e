#include "burn/burnrate.h"

#include <algorithm>

namespace Burn {

namespace {

using std::chrono::hours;
using std::chrono::minutes;

constexpr int kPlotPoints = 72;
// Fraction of the short window that samples must cover for a pair to alert.
constexpr double kMinCoverage = 0.5;

// Also requires that samples cover enough of the window.
bool
ReachesThreshold(const WindowBurn& aBurn, double aThreshold)
{
  return aBurn.mRate >= aThreshold && aBurn.mCoverage >= kMinCoverage;
}

PairBurn
ComputePairBurn(const History& aHistory,
                const Objective& aObjective,
                const WindowPair& aPair,
                WallTime aNow)
{
  PairBurn burn;
  burn.mShort = ComputeWindowBurn(aHistory, aObjective, aPair.mShort, aNow);
  burn.mLong = ComputeWindowBurn(aHistory, aObjective, aPair.mLong, aNow);
  burn.mThreshold = aPair.mThreshold;
  // Only the short window needs coverage, so that a long window that is not filled yet does not
  // suppress an alert.
  burn.mAlerts =
    ReachesThreshold(burn.mShort, aPair.mThreshold) && burn.mLong.mRate >= aPair.mThreshold;
  return burn;
}

std::vector<PlotPoint>
ComputePlot(const History& aHistory,
            const Objective& aObjective,
            const std::vector<WindowPair>& aWindows,
            WallTime aNow)
{
  std::chrono::seconds shortest = aWindows.front().mShort;
  std::chrono::seconds longest = aWindows.front().mLong;
  for (const WindowPair& pair : aWindows) {
    shortest = std::min(shortest, pair.mShort);
    longest = std::max(longest, pair.mLong);
  }
  std::vector<PlotPoint> points;
  for (int i = 0; i <= kPlotPoints; ++i) {
    const WallTime time = aNow - longest + longest * i / kPlotPoints;
    points.push_back({ time, ComputeWindowBurn(aHistory, aObjective, shortest, time).mRate });
  }
  return points;
}

std::vector<std::string>
FindSilentInstances(const History& aHistory,
                    const std::vector<std::string>& aInstances,
                    std::chrono::seconds aShortest,
                    WallTime aNow)
{
  std::vector<std::string> silent;
  for (const std::string& instance : aInstances) {
    const auto found = aHistory.find(instance);
    if (found == aHistory.end() || found->second.empty() ||
        found->second.rbegin()->first < aNow - aShortest) {
      silent.push_back(instance);
    }
  }
  return silent;
}

} // namespace

std::vector<WindowPair>
DefaultWindows()
{
  return { { minutes(5), hours(1), 14.4 }, { minutes(30), hours(6), 6 } };
}

WindowBurn
ComputeWindowBurn(const History& aHistory,
                  const Objective& aObjective,
                  std::chrono::seconds aWindow,
                  WallTime aEnd)
{
  const Increase total = IncreaseOver(aHistory, aObjective.mTotal, aWindow, aEnd);
  const Increase bad = IncreaseOver(aHistory, aObjective.mBad, aWindow, aEnd);
  WindowBurn burn;
  burn.mWindow = aWindow;
  burn.mTotal = total.mValue;
  burn.mBad = bad.mValue;
  burn.mCoverage = total.mCoverage;
  // Without traffic, no error budget is consumed.
  const double ratio = total.mValue > 0 ? bad.mValue / total.mValue : 0;
  burn.mRate = ratio / (1 - aObjective.mTarget);
  return burn;
}

Report
MakeReport(const History& aHistory,
           const std::vector<Objective>& aObjectives,
           const std::vector<WindowPair>& aWindows,
           const std::vector<std::string>& aInstances,
           WallTime aNow)
{
  Report report;
  report.mTime = aNow;
  if (aWindows.empty()) {
    return report;
  }
  std::chrono::seconds shortest = aWindows.front().mShort;
  for (const WindowPair& pair : aWindows) {
    shortest = std::min(shortest, pair.mShort);
  }
  report.mSilentInstances = FindSilentInstances(aHistory, aInstances, shortest, aNow);
  for (const Objective& objective : aObjectives) {
    ObjectiveBurn burn;
    burn.mObjective = objective;
    for (const WindowPair& pair : aWindows) {
      burn.mPairs.push_back(ComputePairBurn(aHistory, objective, pair, aNow));
    }
    burn.mPlot = ComputePlot(aHistory, objective, aWindows, aNow);
    report.mObjectives.push_back(std::move(burn));
  }
  return report;
}

bool
HasAlert(const Report& aReport)
{
  return std::any_of(
    aReport.mObjectives.begin(), aReport.mObjectives.end(), [](const ObjectiveBurn& aBurn) {
      return std::any_of(aBurn.mPairs.begin(), aBurn.mPairs.end(), [](const PairBurn& aPair) {
        return aPair.mAlerts;
      });
    });
}

} // namespace Burn

#pragma once

#include "burn/history.h"

#include <chrono>
#include <string>
#include <vector>

namespace Burn {

/// Service level objective (SLO) of one service.
struct Objective
{
  std::string mService;
  std::string mName;
  /// Fraction of the events that must be good, for example 0.999; above 0 and below 1.
  double mTarget = 0.999;
  std::vector<Series> mTotal;
  std::vector<Series> mBad;
};

/// Pair of windows that alerts if the burn rate reaches the threshold in both: the long one shows
/// that the burn is significant, the short one that it is still going on.
struct WindowPair
{
  std::chrono::seconds mShort{ 0 };
  std::chrono::seconds mLong{ 0 };
  /// Minimum burn rate of an alert; a rate of 1 exhausts the error budget exactly at the end of its
  /// period.
  double mThreshold = 1;
};

/// Events and burn rate of one window.
struct WindowBurn
{
  std::chrono::seconds mWindow{ 0 };
  double mTotal = 0;
  double mBad = 0;
  double mRate = 0;
  double mCoverage = 0;
};

struct PairBurn
{
  WindowBurn mShort;
  WindowBurn mLong;
  double mThreshold = 1;
  bool mAlerts = false;
};

struct PlotPoint
{
  WallTime mTime{ 0 };
  double mRate = 0;
};

struct ObjectiveBurn
{
  Objective mObjective;
  std::vector<PairBurn> mPairs;
  /// Burn rate over the shortest window at evenly spaced times of the longest window.
  std::vector<PlotPoint> mPlot;
};

struct Report
{
  WallTime mTime{ 0 };
  std::vector<ObjectiveBurn> mObjectives;
  /// Instances without samples in the shortest window.
  std::vector<std::string> mSilentInstances;
};

/// \return the default pairs: 5 min with 1 h at 14.4, and 30 min with 6 h at 6.
std::vector<WindowPair>
DefaultWindows();

WindowBurn
ComputeWindowBurn(const History& aHistory,
                  const Objective& aObjective,
                  std::chrono::seconds aWindow,
                  WallTime aEnd);

/// \param aInstances are all instances that are expected to report.
Report
MakeReport(const History& aHistory,
           const std::vector<Objective>& aObjectives,
           const std::vector<WindowPair>& aWindows,
           const std::vector<std::string>& aInstances,
           WallTime aNow);

/// \return true if any pair of any objective alerts.
bool
HasAlert(const Report& aReport);

} // namespace Burn

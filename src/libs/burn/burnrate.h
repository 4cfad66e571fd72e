#pragma once

#include "burn/history.h"

#include <chrono>
#include <string>
#include <vector>

namespace Burn {

/// Objective of one service.
struct Objective
{
  std::string mService;
  std::string mName;
  /// Part of the events that must be good, for example 0.999; above 0 and below 1.
  double mTarget = 0.999;
  std::vector<Series> mTotal;
  std::vector<Series> mBad;
};

/// Two windows that must both burn. The long one shows that the burn matters, the short one that it
/// still goes on.
struct WindowPair
{
  std::chrono::seconds mShort{ 0 };
  std::chrono::seconds mLong{ 0 };
  /// Burn rate from which the pair alerts; 1 uses up the error budget exactly at the end of its
  /// period.
  double mThreshold = 1;
};

/// Burn of one window.
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
  /// Burn rate over the shortest window, for each step of the longest one.
  std::vector<PlotPoint> mPlot;
};

struct Report
{
  WallTime mTime{ 0 };
  std::vector<ObjectiveBurn> mObjectives;
  /// Instances whose counters are older than the shortest window, or were never read.
  std::vector<std::string> mSilentInstances;
};

/// The usual pairs: 5 min with 1 h at 14.4, and 30 min with 6 h at 6.
std::vector<WindowPair>
DefaultWindows();

WindowBurn
BurnOver(const History& aHistory,
         const Objective& aObjective,
         std::chrono::seconds aWindow,
         WallTime aEnd);

/// \param aInstances are all instances that should report.
Report
MakeReport(const History& aHistory,
           const std::vector<Objective>& aObjectives,
           const std::vector<WindowPair>& aWindows,
           const std::vector<std::string>& aInstances,
           WallTime aNow);

/// \return true if a pair of any objective alerts.
bool
HasAlert(const Report& aReport);

} // namespace Burn

#pragma once

#include "base/runtimeclock.h"
#include "measure/floodfront.h"
#include "measure/floodplan.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Measure {

/// What one stream of requests got.
struct StreamResult
{
  std::string mKind;
  std::string mClient;
  /// Neither flooded itself nor of the kind or client that is flooded.
  bool mOther = true;
  uint64_t mOffered = 0;
  /// Answered within the deadline.
  uint64_t mAnswered = 0;
  std::vector<double> mLatenciesMs;
  /// Longest time from the request to its dispatch.
  Base::Duration mLongestWait{ 0 };
};

/// What one run showed, for requests sent within the measured time.
struct FloodResult
{
  std::vector<StreamResult> mStreams;
  /// Requests that each host ran, without hosts that were absent for a part of the run.
  std::vector<double> mRequestsByHost;
  /// Refusals and losses of other work by reason.
  std::map<std::string, uint64_t> mRefusalsOfOthers;
  std::map<std::string, uint64_t> mRefusals;
  /// Slot time in seconds, and the part of it whose answers came too late or to nobody.
  double mUsedSeconds = 0;
  double mWastedSeconds = 0;
};

/// Runs a plan in simulated time.
FloodResult
RunFlood(const FloodPlan& aPlan, Control aControl);

} // namespace Measure

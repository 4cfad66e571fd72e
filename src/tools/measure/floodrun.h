#pragma once

#include "base/runtimeclock.h"
#include "measure/floodfront.h"
#include "measure/floodplan.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Measure {

/// Outcome of one stream of requests.
struct StreamResult
{
  std::string mKind;
  std::string mClient;
  /// True if the stream is outside the flood: neither excess load nor regular load of the flooded
  /// kind or client.
  bool mIsOutsideFlood = true;
  uint64_t mOffered = 0;
  /// Answered within the deadline.
  uint64_t mAnswered = 0;
  std::vector<double> mLatenciesMs;
  /// Longest time between sending a request and its start at the upstream.
  Base::Duration mLongestQueueWait{ 0 };
};

/// Results of one run. Only requests sent within the measurement window are counted.
struct FloodResult
{
  std::vector<StreamResult> mStreams;
  /// Number of requests that each host ran. Omits hosts that were absent for part of the run.
  std::vector<double> mRequestsByHost;
  /// Refused and lost requests by reason, outside the flood and in total.
  std::map<std::string, uint64_t> mRefusalsOutsideFlood;
  std::map<std::string, uint64_t> mRefusals;
  /// Slot time in total, and slot time whose answer missed the deadline or was not delivered.
  double mUsedSeconds = 0;
  double mWastedSeconds = 0;
};

/// Runs a plan in simulated time.
FloodResult
RunFlood(const FloodPlan& aPlan, AdmissionControl aControl);

} // namespace Measure

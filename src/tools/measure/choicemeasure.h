#pragma once

#include "base/runtimeclock.h"
#include "measure/report.h"

namespace Measure {

/// How entry instances know which upstream has a free slot.
enum class ChoiceWay
{
  /// Each instance counts only the flows that it placed.
  LocalCounts,
  /// Instances of an availability zone report their counts to each other.
  Reports,
  /// One dispatcher in each availability zone places all flows and is told of their ends.
  Dispatcher
};

/// What one run gave.
struct ChoiceFigures
{
  double mMeanMs = 0;
  double mP99Ms = 0;
  /// Part of the flows that were answered within the objective.
  double mInObjective = 0;
  /// Part of the flows that found the queue of their upstream full.
  double mShed = 0;
  /// Sent for each flow between instances.
  double mMessages = 0;
  double mBytes = 0;
  /// Of the choice and the reports, on the machine that runs the measurement.
  double mMicroseconds = 0;
};

/// Places flows of one service over its upstreams in simulated time, with the real choice and the
/// real reports, 20 entry instances and 14 upstreams of 3 slots in 3 availability zones.
/// \param aLoad is the part of all slots that the flows need.
ChoiceFigures
RunChoice(uint64_t aSeed, ChoiceWay aWay, double aLoad);

/// Compares the ways at several loads, each with the same flows.
Report
MeasureChoice(uint64_t aSeed);

} // namespace Measure

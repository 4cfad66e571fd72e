#pragma once

#include "base/runtimeclock.h"
#include "measure/report.h"

namespace Measure {

/// How entry instances track the load of the upstreams.
enum class LoadTracking
{
  /// Each instance counts only the flows that it placed itself.
  LocalCounts,
  /// Instances of an availability zone exchange load reports.
  Reports,
  /// One dispatcher per availability zone places all flows and is notified when they end.
  Dispatcher
};

/// Results of one run; costs are averages per flow.
struct ChoiceFigures
{
  double mMeanMs = 0;
  double mP99Ms = 0;
  /// Fraction of the flows that were answered within the latency objective.
  double mWithinObjective = 0;
  /// Fraction of the flows that were rejected because the queue of their upstream was full.
  double mShed = 0;
  /// Messages and bytes sent between instances.
  double mMessages = 0;
  double mBytes = 0;
  /// Processor time of placement and load reports on the machine that runs the simulation.
  double mProcessorMicroseconds = 0;
};

/// Simulates the placement of one service's flows with the production selection and load report
/// code: 20 entry instances and 14 upstreams of 3 slots in 3 availability zones.
/// \param aLoad is the offered load as a fraction of the total slot capacity.
ChoiceFigures
RunChoice(uint64_t aSeed, LoadTracking aTracking, double aLoad);

/// Compares the tracking methods at several loads. All methods get the same flows.
Report
MeasureChoice(uint64_t aSeed);

} // namespace Measure

#pragma once

#include "measure/report.h"

namespace Measure {

/// Measures flow placement: broken flows, time and memory, imbalance.
/// \param aSeed makes the run repeatable, except for the times.
Report
MeasurePlacement(uint64_t aSeed);

/// Measures the request code: memory of flows and requests, time of decisions, outcomes of
/// randomized runs that begin with this seed. \param aSeed makes the outcomes repeatable.
Report
MeasureRequests(uint64_t aSeed);

} // namespace Measure

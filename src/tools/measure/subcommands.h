#pragma once

#include "measure/report.h"

namespace Measure {

/// Measures flow placement: broken flows, time and memory, imbalance.
/// \param aSeed makes the run repeatable, except for the times.
Report
MeasurePlacement(uint64_t aSeed);

} // namespace Measure

#pragma once

#include "measure/report.h"

namespace Measure {

/// Measures broken flows, time, memory and imbalance of flow placement.
/// \param aSeed makes all results except the times reproducible.
Report
MeasurePlacement(uint64_t aSeed);

} // namespace Measure

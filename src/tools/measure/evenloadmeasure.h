#pragma once

#include "measure/report.h"

#include <cstdint>

namespace Measure {

/// Compares the methods by load, age of the reports and number of instances.
void
MeasureEvenLoad(uint64_t aSeed, Report& aReport);

} // namespace Measure

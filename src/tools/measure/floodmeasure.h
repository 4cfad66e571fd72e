#pragma once

#include "measure/floodplan.h"

#include <cstdint>

namespace Measure {

/// Runs all floods and faults with the admission policy and two baselines and prints the results.
/// \param aJson prints one JSON document instead of text.
/// \return 0 if the policy meets the targets in all fault-free runs with floods of 10 times the
/// capacity, otherwise 1.
int
RunFloodMeasure(uint64_t aSeed, bool aJson);

/// \copydoc RunFloodMeasure(uint64_t, bool)
int
RunFloodMeasure(uint64_t aSeed, bool aJson, const FloodSettings& aSettings);

} // namespace Measure

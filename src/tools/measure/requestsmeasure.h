#pragma once

#include <cstdint>

/// Measures memory per flow and request, time per request, and the outcomes of the randomized
/// simulation. Prints the results.
/// \param aSeed is the first seed of the randomized simulation.
/// \param aJson selects JSON instead of text.
/// \return 0, or 1 if the randomized simulation found a violation.
int
RunRequestsMeasure(uint64_t aSeed, bool aJson);

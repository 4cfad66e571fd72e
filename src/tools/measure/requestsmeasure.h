#pragma once

#include <cstdint>

/// Measures memory for each flow and request, time for each request, and the outcomes of the
/// randomized run. Prints the figures.
/// \param aSeed is the first of the seeds of the randomized run.
/// \param aJson selects JSON instead of text.
/// \return 0, or 1 if the randomized run found a violation.
int
RunRequestsMeasure(uint64_t aSeed, bool aJson);

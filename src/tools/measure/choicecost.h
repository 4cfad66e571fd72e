#pragma once

#include "measure/report.h"

#include <cstddef>

namespace Measure {

/// Results of the choices in one directory.
struct ChoiceCostFigures
{
  /// Processor time of a choice on the machine of the measurement.
  double mProcessorMicroseconds = 0;
  /// Upstreams that a choice selected from, on average.
  double mCandidates = 0;
  /// Fraction of the choices that found no upstream with room.
  double mSaturated = 0;
};

/// Measures choices among upstreams that are spread evenly over the services and over three
/// availability zones, as one of 42 entry instances with a subset of the upstreams.
ChoiceCostFigures
RunChoiceCost(uint64_t aSeed, size_t aUpstreams, size_t aServices, size_t aChoices);

/// Measures the processor time of a choice by the number of upstreams and services.
void
MeasureChoiceCost(uint64_t aSeed, Report& aReport);

} // namespace Measure

#pragma once

#include "base/runtimeclock.h"

#include <cstdint>

namespace Admission {

/// Moving average and mean deviation of the slot time of one kind of work. Held by the dispatcher
/// of the upstream; a new dispatcher estimates it from its first answers.
struct ServiceTime
{
  /// Used until the first answer.
  Base::Duration mMean = std::chrono::milliseconds(50);
  Base::Duration mDeviation{ 0 };
  /// Long-term average latency with which the concurrency limit compares new answers.
  Base::Duration mBaseline{ 0 };
  uint32_t mSamples = 0;
};

void
AddSample(ServiceTime& aTime, Base::Duration aSample);

/// Updates the baseline with a sample. Call it only while latency is not increased, so that the
/// latency of an overloaded upstream does not become the baseline.
void
AddToBaseline(ServiceTime& aTime, Base::Duration aSample);

/// \return the mean plus two mean deviations.
Base::Duration
ConservativeEstimate(const ServiceTime& aTime);

/// \return the sample divided by the baseline, or 1 if there is no baseline yet.
double
LatencyRatio(const ServiceTime& aTime, Base::Duration aSample);

} // namespace Admission

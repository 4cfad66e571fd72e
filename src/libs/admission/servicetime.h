#pragma once

#include "base/runtimeclock.h"

#include <cstdint>

namespace Admission {

/// Moving mean and mean deviation of the time that one kind of work holds a slot. Owned by the
/// dispatcher of one upstream; fixed size; a new dispatcher learns it again from its first answers.
struct ServiceTime
{
  /// Used until the first answer.
  Base::Duration mMean = std::chrono::milliseconds(50);
  Base::Duration mDeviation{ 0 };
  /// Slow mean that the concurrency limit compares new answers with.
  Base::Duration mBaseline{ 0 };
  uint32_t mSamples = 0;
};

void
AddSample(ServiceTime& aTime, Base::Duration aSample);

/// Moves the slow mean towards a sample. Call it only while latency has not grown, so that
/// an overloaded upstream does not become its own reference.
void
AddToBaseline(ServiceTime& aTime, Base::Duration aSample);

/// \return mean plus two deviations.
Base::Duration
CautiousEstimate(const ServiceTime& aTime);

/// \return the sample over the slow mean, 1 while there is no slow mean.
double
LatencyRatio(const ServiceTime& aTime, Base::Duration aSample);

} // namespace Admission

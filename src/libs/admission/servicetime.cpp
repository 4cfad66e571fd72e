#include "admission/servicetime.h"

#include <algorithm>
#include <cstdlib>

namespace Admission {

namespace {

constexpr uint32_t kMeanSamples = 16;
constexpr uint32_t kBaselineSamples = 512;

} // namespace

void
AddSample(ServiceTime& aTime, Base::Duration aSample)
{
  if (aTime.mSamples == 0) {
    aTime.mMean = aSample;
    aTime.mDeviation = aSample / 2;
    aTime.mSamples = 1;
    return;
  }
  const int64_t weight = std::min(aTime.mSamples + 1, kMeanSamples);
  const Base::Duration error = aSample - aTime.mMean;
  aTime.mMean += error / weight;
  aTime.mDeviation += (Base::Duration(std::abs(error.count())) - aTime.mDeviation) / weight;
  ++aTime.mSamples;
}

void
AddToBaseline(ServiceTime& aTime, Base::Duration aSample)
{
  if (aTime.mBaseline.count() == 0) {
    aTime.mBaseline = aSample;
    return;
  }
  const int64_t weight = std::clamp(aTime.mSamples, 1U, kBaselineSamples);
  aTime.mBaseline += (aSample - aTime.mBaseline) / weight;
}

Base::Duration
ConservativeEstimate(const ServiceTime& aTime)
{
  return aTime.mMean + 2 * aTime.mDeviation;
}

double
LatencyRatio(const ServiceTime& aTime, Base::Duration aSample)
{
  if (aTime.mBaseline.count() <= 0) {
    return 1.0;
  }
  return static_cast<double>(aSample.count()) / static_cast<double>(aTime.mBaseline.count());
}

} // namespace Admission

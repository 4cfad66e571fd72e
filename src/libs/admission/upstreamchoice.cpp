#include "admission/upstreamchoice.h"

#include <algorithm>
#include <cmath>

namespace Admission {

namespace {

using Seconds = std::chrono::duration<double>;

// The typical length of a request flow; older placements say little about present work.
constexpr Base::Duration kHalfLife = std::chrono::seconds(10);
constexpr Base::Duration kSlowStart = std::chrono::seconds(10);

double
WarmSlots(const UpstreamCandidate& aCandidate, Base::TimePoint aNow)
{
  const double slots = std::max<uint32_t>(1, aCandidate.mSlots);
  if (!aCandidate.mColdSince || aNow - *aCandidate.mColdSince >= kSlowStart) {
    return slots;
  }
  const double part = Seconds(aNow - *aCandidate.mColdSince) / Seconds(kSlowStart);
  return std::min(slots, 1 + (slots - 1) * std::max(0.0, part));
}

std::optional<size_t>
LeastLoaded(const std::vector<UpstreamCandidate>& aCandidates,
            bool aWithEjected,
            Base::TimePoint aNow,
            Base::RandomSource& aRandom)
{
  std::optional<size_t> best;
  double bestLoad = 0;
  uint64_t ties = 0;
  for (size_t i = 0; i < aCandidates.size(); ++i) {
    const UpstreamCandidate& candidate = aCandidates[i];
    if (!candidate.mTakesNewWork || (candidate.mEjected && !aWithEjected)) {
      continue;
    }
    const double load = (AmountAt(candidate.mPlaced, aNow) + 1) / WarmSlots(candidate, aNow);
    if (!best || load < bestLoad) {
      best = i;
      bestLoad = load;
      ties = 1;
      // Instances that all start without placements must not choose the same upstream.
    } else if (load == bestLoad && Base::NextBelow(aRandom, ++ties) == 0) {
      best = i;
    }
  }
  return best;
}

} // namespace

void
AddPlacement(PlacedWork& aWork, Base::TimePoint aNow)
{
  aWork.mAmount = AmountAt(aWork, aNow) + 1;
  aWork.mUpdated = aNow;
}

double
AmountAt(const PlacedWork& aWork, Base::TimePoint aNow)
{
  const double halves = Seconds(aNow - aWork.mUpdated) / Seconds(kHalfLife);
  return aWork.mAmount * std::exp2(-std::max(0.0, halves));
}

std::optional<size_t>
ChooseUpstream(const std::vector<UpstreamCandidate>& aCandidates,
               Base::TimePoint aNow,
               Base::RandomSource& aRandom)
{
  const std::optional<size_t> healthy = LeastLoaded(aCandidates, false, aNow, aRandom);
  return healthy ? healthy : LeastLoaded(aCandidates, true, aNow, aRandom);
}

std::optional<size_t>
ChooseAvailabilityZone(const std::vector<AvailabilityZoneSummary>& aSummaries,
                       size_t aOwn,
                       Base::RandomSource& aRandom)
{
  if (aSummaries[aOwn].mUpstreams > 0) {
    return aOwn;
  }
  uint64_t total = 0;
  for (const AvailabilityZoneSummary& summary : aSummaries) {
    total += summary.mReachable ? summary.mUpstreams : 0;
  }
  if (total == 0) {
    return std::nullopt;
  }
  uint64_t drawn = Base::NextBelow(aRandom, total);
  for (size_t i = 0; i < aSummaries.size(); ++i) {
    const uint64_t weight = aSummaries[i].mReachable ? aSummaries[i].mUpstreams : 0;
    if (drawn < weight) {
      return i;
    }
    drawn -= weight;
  }
  return std::nullopt;
}

} // namespace Admission

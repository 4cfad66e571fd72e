#include "admission/upstreamchoice.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Admission {

namespace {

using Seconds = std::chrono::duration<double>;

// Typical lifetime of a request flow; older placements have little effect on the current load.
constexpr Base::Duration kHalfLife = std::chrono::seconds(10);
constexpr Base::Duration kSlowStart = std::chrono::seconds(10);

// An availability zone redirects flows if its share of arrivals exceeds its share of upstreams by
// this factor. It is below the target of 1.25 for the imbalance of requests, to leave a margin for
// random variation.
constexpr double kSpillTolerance = 1.1;

double
WarmSlots(const UpstreamCandidate& aCandidate, Base::TimePoint aNow)
{
  const double slots = std::max<uint32_t>(1, aCandidate.mSlots);
  if (!aCandidate.mColdSince || aNow - *aCandidate.mColdSince >= kSlowStart) {
    return slots;
  }
  const double fraction = Seconds(aNow - *aCandidate.mColdSince) / Seconds(kSlowStart);
  return std::min(slots, 1 + (slots - 1) * std::max(0.0, fraction));
}

// Shares of one availability zone among all reachable ones.
struct AvailabilityZoneShares
{
  /// Share of new flows that arrive there; the fabric distributes flows evenly over all instances.
  double mArrivals = 0;
  double mUpstreams = 0;
};

std::vector<AvailabilityZoneShares>
ComputeShares(const std::vector<AvailabilityZoneSummary>& aSummaries)
{
  double instances = 0;
  double upstreams = 0;
  for (const AvailabilityZoneSummary& summary : aSummaries) {
    instances += summary.mReachable ? summary.mInstances : 0;
    upstreams += summary.mReachable ? summary.mUpstreams : 0;
  }
  std::vector<AvailabilityZoneShares> shares(aSummaries.size());
  for (size_t i = 0; i < aSummaries.size(); ++i) {
    if (aSummaries[i].mReachable) {
      shares[i].mArrivals = aSummaries[i].mInstances / std::max(1.0, instances);
      shares[i].mUpstreams = aSummaries[i].mUpstreams / std::max(1.0, upstreams);
    }
  }
  return shares;
}

std::optional<size_t>
SelectWeighted(const std::vector<double>& aWeights, Base::RandomSource& aRandom)
{
  double drawn = Base::NextUnit(aRandom) * std::accumulate(aWeights.begin(), aWeights.end(), 0.0);
  std::optional<size_t> last;
  for (size_t i = 0; i < aWeights.size(); ++i) {
    if (aWeights[i] <= 0) {
      continue;
    }
    // Due to rounding errors a remainder can be left after the last weight.
    last = i;
    if (drawn < aWeights[i]) {
      break;
    }
    drawn -= aWeights[i];
  }
  return last;
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
      // Ties are broken randomly, so that instances without placements do not all select the same
      // upstream.
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
  const std::vector<AvailabilityZoneShares> shares = ComputeShares(aSummaries);
  const AvailabilityZoneShares& own = shares[aOwn];
  if (own.mUpstreams > 0) {
    if (own.mArrivals <= kSpillTolerance * own.mUpstreams) {
      return aOwn;
    }
    if (Base::NextUnit(aRandom) * own.mArrivals < own.mUpstreams) {
      return aOwn;
    }
  }
  std::vector<double> weights;
  for (const AvailabilityZoneShares& zone : shares) {
    const double room = std::max(0.0, zone.mUpstreams - zone.mArrivals);
    weights.push_back(own.mUpstreams > 0 ? room : zone.mUpstreams);
  }
  return SelectWeighted(weights, aRandom);
}

} // namespace Admission

#include "steering/evenload.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace Steering {

namespace {

/// With fewer instances, the subset would be the whole zone.
constexpr size_t kMinInstances = 3;
/// If more than half of the reported flows are still in progress, the best of three samples of all
/// upstreams is at least as good as the subset, which many instances share in a large zone.
constexpr double kMaxReportWeight = 0.5;
/// Points of the subset that are compared. At least 3, because the choice among fewer is worse if
/// the subset is only one or two upstreams wide. The upper limit bounds the cost of a choice.
constexpr size_t kMinPoints = 3;
constexpr size_t kMaxPoints = 16;

/// A candidate at a point of the subset.
struct SubsetSample
{
  size_t mIndex = 0;
  double mCost = 0;
  /// Time since the last choice of the candidate, times its capacity in the subset.
  double mIdleCapacity = 0;
};

/// \return true if the first sample is preferred. Among equal ones, that is the one that was chosen
/// less recently, so that no upstream of the subset stays idle for long.
bool
IsPreferred(const SubsetSample& aFirst, const SubsetSample& aSecond)
{
  return aFirst.mCost == aSecond.mCost ? aFirst.mIdleCapacity > aSecond.mIdleCapacity
                                       : aFirst.mCost < aSecond.mCost;
}

/// \return the sums of the weights up to and including each candidate.
std::vector<double>
CumulativeWeights(const std::vector<SubsetCandidate>& aCandidates)
{
  std::vector<double> sums;
  sums.reserve(aCandidates.size());
  double sum = 0;
  for (const SubsetCandidate& candidate : aCandidates) {
    sum += candidate.mWeight;
    sums.push_back(sum);
  }
  return sums;
}

/// \return the candidate at a point of the total capacity, which is closed to a ring.
size_t
CandidateAt(const std::vector<double>& aSums, double aPoint)
{
  const double total = aSums.back();
  const double point = aPoint - std::floor(aPoint / total) * total;
  const auto found = std::upper_bound(aSums.begin(), aSums.end(), point);
  return found == aSums.end() ? 0 : static_cast<size_t>(found - aSums.begin());
}

/// \return the capacity of a candidate that is in a subset of the ring. Without it, upstreams with
/// few slots or a small share in the subset would be chosen as often as the others there.
double
CapacityInSubset(const std::vector<double>& aSums, size_t aIndex, double aBegin, double aWidth)
{
  const double total = aSums.back();
  const double first = aIndex == 0 ? 0 : aSums[aIndex - 1];
  const double last = aSums[aIndex];
  double overlap = 0;
  for (const double turn : { -total, 0.0, total }) {
    const double begin = std::max(first + turn, aBegin);
    const double end = std::min(last + turn, aBegin + aWidth);
    overlap += std::max(end - begin, 0.0);
  }
  return overlap;
}

} // namespace

ZonePosition
PositionOf(const PeerReports& aReports, uint32_t aInstance)
{
  const auto& reports = aReports.mByInstance;
  if (aInstance == 0) {
    return {};
  }
  ZonePosition position;
  const auto self = reports.lower_bound(aInstance);
  position.mRank = static_cast<size_t>(std::distance(reports.begin(), self));
  const bool hasOwnReport = self != reports.end() && self->first == aInstance;
  position.mInstances = reports.size() + (hasOwnReport ? 0 : 1);
  return position;
}

bool
HasSubset(const ZonePosition& aPosition, double aReportWeight)
{
  return aPosition.mInstances >= kMinInstances && aReportWeight < kMaxReportWeight;
}

double
ReportWeight(Base::Duration aInterval, Base::Duration aMeanDuration)
{
  if (aMeanDuration <= Base::Duration::zero()) {
    return 1;
  }
  // The latest report of a peer is half an interval old in the mean.
  const std::chrono::duration<double> age = aInterval / 2;
  return std::exp(-age / std::chrono::duration<double>(aMeanDuration));
}

std::optional<size_t>
ChooseFromSubset(const std::vector<SubsetCandidate>& aCandidates,
                 const ZonePosition& aPosition,
                 Base::TimePoint aNow,
                 Base::RandomSource& aRandom,
                 double aShares)
{
  if (aCandidates.empty()) {
    return std::nullopt;
  }
  const std::vector<double> sums = CumulativeWeights(aCandidates);
  const double share = sums.back() / static_cast<double>(aPosition.mInstances);
  const double width = aShares * share;
  const double begin = (static_cast<double>(aPosition.mRank) + 0.5) * share - width / 2;
  const double upstreams = width * static_cast<double>(aCandidates.size()) / sums.back();
  const auto points = std::clamp(static_cast<size_t>(std::ceil(upstreams)), kMinPoints, kMaxPoints);
  // Points at equal distances with a random offset take each upstream in proportion to its share of
  // the subset. A random first one avoids a preference among equal upstreams.
  const double offset = Base::NextUnit(aRandom);
  const size_t first = Base::NextBelow(aRandom, points);
  std::optional<SubsetSample> best;
  for (size_t i = 0; i < points; ++i) {
    const double step = static_cast<double>((first + i) % points) + offset;
    const size_t index = CandidateAt(sums, begin + width * step / static_cast<double>(points));
    const SubsetCandidate& candidate = aCandidates[index];
    if (candidate.mOwnFlows >= candidate.mSlots) {
      continue;
    }
    const std::chrono::duration<double> idle = aNow - candidate.mLastChosenAt;
    const SubsetSample sample{ index,
                               candidate.mCost,
                               idle.count() * CapacityInSubset(sums, index, begin, width) };
    if (!best.has_value() || IsPreferred(sample, *best)) {
      best = sample;
    }
  }
  return best.has_value() ? std::optional(best->mIndex) : std::nullopt;
}

} // namespace Steering

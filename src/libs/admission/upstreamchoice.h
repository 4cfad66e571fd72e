#pragma once

#include "base/random.h"
#include "base/runtimeclock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Admission {

/// Flows that an instance placed on one upstream, fading over time, because the instance does not
/// see them end. Owned by the instance and rebuilt after its restart; fixed size.
struct PlacedWork
{
  double mAmount = 0;
  Base::TimePoint mUpdated;
};

void
AddPlacement(PlacedWork& aWork, Base::TimePoint aNow);

/// \return what is left of the placed work now.
double
AmountAt(const PlacedWork& aWork, Base::TimePoint aNow);

/// An upstream of the own availability zone to which a new flow may go.
struct UpstreamCandidate
{
  uint32_t mSlots = 1;
  /// Lease valid and not draining.
  bool mTakesNewWork = true;
  bool mEjected = false;
  PlacedWork mPlaced;
  /// When the upstream started cold; empty for a warm one.
  std::optional<Base::TimePoint> mColdSince;
};

/// Selects the upstream with the least placed work for its slots. A cold upstream counts with the
/// part of its slots that it has warmed up. Ejected upstreams are used only when no other one takes
/// new work.
/// \return index of the selected upstream, or nothing if none takes new work.
std::optional<size_t>
ChooseUpstream(const std::vector<UpstreamCandidate>& aCandidates,
               Base::TimePoint aNow,
               Base::RandomSource& aRandom);

/// What an instance knows of an availability zone from the summaries.
struct AvailabilityZoneSummary
{
  std::string mName;
  uint32_t mInstances = 0;
  /// Upstreams of the service that take new work.
  uint32_t mUpstreams = 0;
  /// A summary arrived recently. The own availability zone is always reachable.
  bool mReachable = true;
};

/// Selects the availability zone of a new flow. It is the own one while that has upstreams for its
/// part of the arriving flows. What arrives above that goes to availability zones with room, and
/// all of it to the reachable others, weighted by their upstreams, when the own one has no upstream
/// for new work. \param aOwn is the index of the own availability zone. \return index of the
/// selected availability zone, or nothing if none can take the flow.
std::optional<size_t>
ChooseAvailabilityZone(const std::vector<AvailabilityZoneSummary>& aSummaries,
                       size_t aOwn,
                       Base::RandomSource& aRandom);

} // namespace Admission

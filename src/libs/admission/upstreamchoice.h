#pragma once

#include "base/random.h"
#include "base/runtimeclock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Admission {

/// Exponentially decaying count of the flows that this instance placed on one upstream. It decays
/// because the instance does not observe the end of flows. Empty after a restart.
struct PlacedWork
{
  double mAmount = 0;
  Base::TimePoint mUpdated;
};

void
AddPlacement(PlacedWork& aWork, Base::TimePoint aNow);

/// \return the decayed amount of placed work.
double
AmountAt(const PlacedWork& aWork, Base::TimePoint aNow);

/// An upstream of the local availability zone that is a candidate for a new flow.
struct UpstreamCandidate
{
  uint32_t mSlots = 1;
  /// The lease is valid and the upstream is not draining.
  bool mTakesNewWork = true;
  bool mEjected = false;
  PlacedWork mPlaced;
  /// Time of a cold start; empty for a warm upstream.
  std::optional<Base::TimePoint> mColdSince;
};

/// Selects the upstream with the least placed work per slot. For a cold upstream, only the fraction
/// of its slots reached in the slow start counts. Ejected upstreams are used only if no other
/// upstream accepts new work.
/// \return the index of the selected upstream, or nullopt if none accepts new work.
std::optional<size_t>
ChooseUpstream(const std::vector<UpstreamCandidate>& aCandidates,
               Base::TimePoint aNow,
               Base::RandomSource& aRandom);

/// Summary of an availability zone as known to an instance.
struct AvailabilityZoneSummary
{
  std::string mName;
  uint32_t mInstances = 0;
  /// Number of upstreams of the service that accept new work.
  uint32_t mUpstreams = 0;
  /// Whether a summary was received recently. The local availability zone is always reachable.
  bool mReachable = true;
};

/// Selects the availability zone for a new flow. The local one is preferred as long as its share of
/// upstreams matches its share of arriving flows. Excess flows go to availability zones with spare
/// capacity. If the local one has no upstream for new work, all flows go to the other reachable
/// availability zones, weighted by their number of upstreams.
/// \param aOwn is the index of the local availability zone.
/// \return the index of the selected availability zone, or nullopt if none can accept the flow.
std::optional<size_t>
ChooseAvailabilityZone(const std::vector<AvailabilityZoneSummary>& aSummaries,
                       size_t aOwn,
                       Base::RandomSource& aRandom);

} // namespace Admission

#pragma once

#include "base/random.h"
#include "base/runtimeclock.h"
#include "steering/loadreports.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace Steering {

/// Width of an instance's subset in equal shares of the zone, so that about two instances choose
/// each upstream. With one, an instance has too few alternatives when its upstream is busy; with
/// three, more of an upstream's load is unknown to each of them (docs/design/even-load.md).
constexpr double kSubsetShares = 2;

/// Position of an entry instance among the live ones of its availability zone, ordered by id.
struct ZonePosition
{
  size_t mRank = 0;
  /// Live instances, including this one.
  size_t mInstances = 1;
};

/// An upstream of the availability zone that may get the flow.
struct SubsetCandidate
{
  /// Capacity, in slots of an upstream that is not cold.
  double mWeight = 1;
  uint32_t mSlots = 1;
  uint32_t mOwnFlows = 0;
  /// Own flows plus those expected from peers, for each slot.
  double mCost = 0;
  Base::TimePoint mLastChosenAt;
};

/// \return the position among the instances with a current report.
/// \param aInstance is the id in this instance's own reports, or 0 if it has none.
ZonePosition
PositionOf(const PeerReports& aReports, uint32_t aInstance);

/// \return true if the instance should use its own subset of the zone's upstreams first: the subset
/// is smaller than the whole zone, and reports say less than the instance's own flows. \param
/// aReportWeight is the result of ReportWeight.
bool
HasSubset(const ZonePosition& aPosition, double aReportWeight);

/// \return the expected share of the flows in a report that are still in progress.
/// \param aInterval is the time between two reports of a peer.
/// \param aMeanDuration is the mean duration of a request, or 0 if it is not known.
double
ReportWeight(Base::Duration aInterval, Base::Duration aMeanDuration);

/// Chooses an upstream of the instance's subset of the zone. The instances of a zone divide the
/// capacity of its upstreams evenly: with the upstreams and the instances in a fixed order, each
/// instance has an interval of the total capacity around its own position. Each upstream is thus
/// chosen by few instances, which know most of its load exactly, and when an instance or upstream
/// joins or leaves, the other intervals move by at most the share of one.
/// \param aCandidates are the candidates, in an order that all instances agree on.
/// \param aShares is the width of the subset.
/// \return the index of the candidate, or std::nullopt if no sampled upstream of the subset has a
/// slot that is free of own flows.
std::optional<size_t>
ChooseFromSubset(const std::vector<SubsetCandidate>& aCandidates,
                 const ZonePosition& aPosition,
                 Base::TimePoint aNow,
                 Base::RandomSource& aRandom,
                 double aShares = kSubsetShares);

} // namespace Steering

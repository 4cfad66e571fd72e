#pragma once

#include "admission/ejection.h"
#include "admission/upstreamchoice.h"
#include "base/random.h"
#include "base/runtimeclock.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace Measure {

/// What the instances know of the upstreams of a service. Owned by one run; it has an entry for
/// each pair of instance and upstream.
struct Router
{
  /// Upstreams that take new flows, by host.
  std::vector<bool> mTakesNewWork;
  std::vector<std::optional<Base::TimePoint>> mColdSince;
  /// Instances that the fabric delivers to.
  std::vector<bool> mDelivered;
  /// Placed flows and health by instance, then host.
  std::vector<std::vector<Admission::PlacedWork>> mPlaced;
  std::vector<Admission::HealthTable> mHealth;
  std::vector<uint32_t> mNextInTurn;
  /// Availability zone that is cut off from the others.
  std::optional<uint32_t> mCut;
  Base::RandomSource mRandom;
};

Router
MakeRouter(uint32_t aHosts, uint64_t aSeed);

/// \return true if packets pass between two availability zones.
bool
IsConnected(const Router& aRouter, uint32_t aFirst, uint32_t aSecond);

/// \param aSide is an availability zone that the caller reaches.
/// \return an instance to which the fabric delivers a packet of the caller.
uint32_t
DeliverTo(Router& aRouter, uint32_t aSide);

/// Selects the upstream of a new flow with the functions of the admission library.
std::optional<uint32_t>
RouteFlow(Router& aRouter, uint32_t aInstance, uint32_t aSlots, Base::TimePoint aNow);

/// Selects the next upstream in turn, for the baseline without admission control.
std::optional<uint32_t>
RouteInTurn(Router& aRouter, uint32_t aInstance);

/// Tells an instance how the opening of a flow went.
void
RecordOpening(Router& aRouter,
              uint32_t aInstance,
              uint32_t aHost,
              bool aSucceeded,
              Base::TimePoint aNow);

} // namespace Measure

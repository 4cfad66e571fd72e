#pragma once

#include "admission/ejection.h"
#include "admission/upstreamchoice.h"
#include "base/random.h"
#include "base/runtimeclock.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace Measure {

/// Routing state of all instances for the upstreams of one service. Owned by one run. It has one
/// entry per pair of instance and upstream.
struct Router
{
  /// Whether the upstream accepts new flows, by host.
  std::vector<bool> mTakesNewWork;
  std::vector<std::optional<Base::TimePoint>> mColdSince;
  /// Whether the fabric delivers packets to the instance, by instance.
  std::vector<bool> mReceivesPackets;
  /// Placed flows and upstream health, by instance and host.
  std::vector<std::vector<Admission::PlacedWork>> mPlaced;
  std::vector<Admission::HealthTable> mHealth;
  std::vector<uint32_t> mNextRoundRobin;
  /// Availability zone that is partitioned from the others.
  std::optional<uint32_t> mPartitionedZone;
  Base::RandomSource mRandom;
};

Router
MakeRouter(uint32_t aHosts, uint64_t aSeed);

/// \return true if two availability zones can exchange packets.
bool
IsConnected(const Router& aRouter, uint32_t aFirst, uint32_t aSecond);

/// \param aReachableZone is an availability zone that the caller reaches.
/// \return an instance to which the fabric delivers a packet of the caller.
uint32_t
SelectReceivingInstance(Router& aRouter, uint32_t aReachableZone);

/// Selects the upstream of a new flow with the selection code of the admission library.
std::optional<uint32_t>
RouteFlow(Router& aRouter, uint32_t aInstance, uint32_t aSlots, Base::TimePoint aNow);

/// Selects an upstream by round robin, for the baseline without admission control.
std::optional<uint32_t>
RouteRoundRobin(Router& aRouter, uint32_t aInstance);

/// Records in the health table of an instance whether a flow could be opened.
void
RecordOpening(Router& aRouter,
              uint32_t aInstance,
              uint32_t aHost,
              bool aSucceeded,
              Base::TimePoint aNow);

} // namespace Measure

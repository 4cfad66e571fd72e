#pragma once

#include "measure/fakecluster.h"

namespace Measure {

/// Opening packets of a flow before its first mid-flow packet.
constexpr uint32_t kOpeningPackets = 3;

/// Schedules a call.
void
At(Cluster& aCluster, Base::TimePoint aTime, std::function<void()> aRun);

/// Runs the timers of an instance and passes its table on to its shard.
void
TickInstance(Cluster& aCluster, FakeInstance& aInstance);

/// Sends the next packet of a flow to a random instance of the fabric.
void
SendFlowPacket(Cluster& aCluster, size_t aFlow);

} // namespace Measure

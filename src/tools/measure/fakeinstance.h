#pragma once

#include "measure/fakecluster.h"

namespace Measure {

/// Number of opening packets of a flow before its first mid-flow packet.
constexpr uint32_t kOpeningPackets = 3;

/// Schedules an event.
void
ScheduleAt(Cluster& aCluster, Base::TimePoint aTime, std::function<void()> aRun);

/// Runs the timers of an instance and updates its shard with the current slot table.
void
TickInstance(Cluster& aCluster, FakeInstance& aInstance);

/// Sends the next packet of a flow to a randomly selected instance.
void
SendFlowPacket(Cluster& aCluster, size_t aFlow);

} // namespace Measure

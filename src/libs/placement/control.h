#pragma once

#include "placement/publisher.h"
#include "placement/shard.h"

#include <functional>

namespace Placement {

/// Control state of one service at one instance: table copy, publisher and upstreams. Rebuilt from
/// peers after a restart. The program guards it with its own lock and passes the table to the
/// shards through UpdateService.
struct ServiceControl
{
  Settings mSettings;
  TableCopy mCopy;
  Publisher mPublisher;
  Upstreams mUpstreams;
  Base::TimePoint mNextUsageReport;
  Base::TimePoint mNextTableRequest;
};

ServiceControl
MakeServiceControl(Base::ServiceGeneration aGeneration, const Settings& aSettings);

/// Fills in, by slot, the time of the last packet that was sent to an older upstream.
using UsageSource = std::function<void(std::map<uint16_t, Base::TimePoint>&)>;

/// Handles the messages for which IsControlMessage returns true.
/// \return the effects, or InvalidArgument for a malformed message.
absl::StatusOr<TableEffects>
HandleControlMessage(ServiceControl& aControl,
                     Base::InstanceId aSender,
                     const lw::placement::PlacementMessage& aMessage,
                     Base::TimePoint aNow);

/// Updates the upstreams from the view, publishes if this instance is the publisher, requests a
/// missing table and reports slot usage. Call it every 50 to 100 ms and when the view changes.
TableEffects
TickControl(ServiceControl& aControl,
            const Membership::View& aView,
            const UsageSource& aUsage,
            Base::TimePoint aNow);

/// \return true for all messages except collect, records, packet and answer, which go to the
/// shards.
bool
IsControlMessage(const lw::placement::PlacementMessage& aMessage);

} // namespace Placement

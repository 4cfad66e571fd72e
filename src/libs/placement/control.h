#pragma once

#include "placement/publisher.h"
#include "placement/shard.h"

#include <functional>

namespace Placement {

/// Everything about the table of one service at one instance: copy, publisher and upstreams. Owned
/// by the instance; rebuilt from peers after a restart. Has its own lock in the program; the shards
/// get the table through UpdateService.
struct ServiceControl
{
  Settings mSettings;
  TableCopy mCopy;
  Publisher mPublisher;
  Upstreams mUpstreams;
  Base::TimePoint mNextUsage;
  Base::TimePoint mNextTableRequest;
};

ServiceControl
MakeServiceControl(Base::ServiceGeneration aGeneration, const Settings& aSettings);

/// Fills in the time of the last packet to an older upstream by slot.
using UsageSource = std::function<void(std::map<uint16_t, Base::TimePoint>&)>;

/// Handles messages about tables: all but collect, records, packet and answer.
/// \return effects, or InvalidArgument for a malformed message.
absl::StatusOr<TableEffects>
HandleControlMessage(ServiceControl& aControl,
                     Base::InstanceId aSender,
                     const lw::placement::PlacementMessage& aMessage,
                     Base::TimePoint aNow);

/// Updates the upstreams from the view, publishes if this instance is the publisher, asks for a
/// missing table and reports usage. Call it every 50 to 100 ms and after a change of the view.
TableEffects
TickControl(ServiceControl& aControl,
            const Membership::View& aView,
            const UsageSource& aUsage,
            Base::TimePoint aNow);

/// \return true for messages that HandleControlMessage handles.
bool
IsControlMessage(const lw::placement::PlacementMessage& aMessage);

} // namespace Placement

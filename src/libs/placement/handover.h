#pragma once

#include "placement/shard.h"

namespace Placement {

/// Starts to collect the records of a slot.
/// \param aPrevious is asked alone first, since its records are complete; nullptr asks all peers.
void
StartCollecting(SlotRole& aRole,
                const Membership::Member* aPrevious,
                const Membership::View& aView,
                Base::TimePoint aNow);

/// Sends and resends collect requests, ends waiting that took too long, and hands over slots that
/// their new owner has not collected. Call it at least every 100 ms.
std::vector<Outgoing>
TickShard(Shard& aShard, const Membership::View& aView, Base::TimePoint aNow);

/// Handles CollectRequest and SlotRecords. Slots of other shards are ignored.
/// \return what to send, or InvalidArgument for a malformed message.
absl::StatusOr<std::vector<Outgoing>>
HandleShardMessage(Shard& aShard,
                   Base::InstanceId aSender,
                   const lw::placement::PlacementMessage& aMessage,
                   const Membership::View& aView,
                   Base::TimePoint aNow);

/// \return true if this instance answers for slots that another instance should own, so that it
/// must not stop yet.
bool
HasSlotsToHandOver(const Shard& aShard, const Membership::View& aView);

} // namespace Placement

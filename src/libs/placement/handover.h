#pragma once

#include "placement/shard.h"

namespace Placement {

/// Starts collecting the records of a slot.
/// \param aPrevious is the previous owner, whose records are complete; it is queried before the
/// other peers. With nullptr, all peers are queried at once.
void
StartCollecting(SlotRole& aRole,
                const Membership::Member* aPrevious,
                const Membership::View& aView,
                Base::TimePoint aNow);

/// Sends and resends collect requests, applies the collect timeouts, and hands over slots that
/// their new owner has not collected. Call it at least every 100 ms.
std::vector<Outgoing>
TickShard(Shard& aShard, const Membership::View& aView, Base::TimePoint aNow);

/// Handles CollectRequest and SlotRecords. Slots of other shards are ignored.
/// \return the messages to send, or InvalidArgument for a malformed message.
absl::StatusOr<std::vector<Outgoing>>
HandleShardMessage(Shard& aShard,
                   Base::InstanceId aSender,
                   const lw::placement::PlacementMessage& aMessage,
                   const Membership::View& aView,
                   Base::TimePoint aNow);

/// \return true if this instance still acts as owner of slots that belong to another instance. It
/// must not stop until it has handed them over.
bool
HasSlotsToHandOver(const Shard& aShard, const Membership::View& aView);

} // namespace Placement

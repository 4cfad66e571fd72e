#pragma once

#include "membership/view.h"
#include "placement/flowtable.h"
#include "placement/messages.h"
#include "placement/settings.h"
#include "placement/slottable.h"
#include "placement/upstreams.h"

#include <map>
#include <memory>
#include <set>
#include <vector>

namespace Placement {

enum class RoleState
{
  /// Another instance owns the slot.
  Remote,
  /// Selected as owner; waits for the previous owner's records or the peers' caches.
  Collecting,
  /// Acts as owner of the slot.
  Ready,
  /// Has sent its records to the next owner and no longer acts as owner.
  HandedOver
};

/// Parts received of one peer's response to a CollectRequest.
struct PendingPeer
{
  std::set<uint32_t> mParts;
  uint32_t mTotal = 0;
};

/// Ownership of one tracked slot as seen by this instance.
struct SlotRole
{
  RoleState mState = RoleState::Remote;
  /// Owner according to the instance's membership view.
  Base::InstanceId mOwner;
  Base::Incarnation mOwnerIncarnation;
  Base::InstanceId mHandedOverTo;
  /// Time of the last change of state, owner or queried peers.
  Base::TimePoint mChangedAt;
  /// Time of the last packet to an upstream other than the current one.
  Base::TimePoint mOlderUpstreamUsedAt;
  /// The members below are used in RoleState::Collecting only.
  bool mRequestedFromAllPeers = false;
  std::map<Base::InstanceId, PendingPeer> mPendingPeers;
  Base::TimePoint mNextResend;
};

/// State of one service within a shard.
struct ServiceShard
{
  Settings mSettings;
  std::shared_ptr<const SlotTable> mTable;
  Upstreams mUpstreams;
  /// Status by index of mTable->mUpstreams.
  std::vector<UpstreamStatus> mStatusByIndex;
  /// Roles of the tracked slots, which are ambiguous or have a current upstream that takes no new
  /// flows. At most kSlots.
  std::map<uint16_t, SlotRole> mRoles;
  /// Hash of all inputs that determine which slots are tracked and who owns them.
  uint64_t mTrackingFingerprint = 0;
};

/// Packet state of the slots whose index modulo mCount is mIndex, for all services. The program
/// guards each shard with its own lock. For recovery after a failure, see FlowTable.
struct Shard
{
  uint32_t mIndex = 0;
  uint32_t mCount = 1;
  std::map<Base::ServiceGeneration, ServiceShard> mServices;
  /// Flows that this instance placed as slot owner.
  FlowTable mRecords;
  /// Cached answers of other owners.
  FlowTable mCache;
};

/// \return the key for the rendezvous hash that selects the slot owner.
uint64_t
OwnerKey(Base::ServiceGeneration aGeneration, uint16_t aSlot);

/// Updates table, upstreams and view of a service, and starts, ends or transfers slot roles
/// accordingly. Call it after each change of one of them, and every 100 ms because the effect of
/// drains depends on time.
/// \param aIsIncremental see TableEffects::mIsIncremental; true if the table is unchanged.
void
UpdateService(Shard& aShard,
              std::shared_ptr<const SlotTable> aTable,
              const Upstreams& aUpstreams,
              const Settings& aSettings,
              const Membership::View& aView,
              bool aIsIncremental,
              Base::TimePoint aNow);

/// Removes a service with all its flows.
void
RemoveService(Shard& aShard, Base::ServiceGeneration aGeneration);

/// Adds the time of the last packet to an older upstream for each tracked slot of a service.
void
CollectUsage(const Shard& aShard,
             Base::ServiceGeneration aGeneration,
             std::map<uint16_t, Base::TimePoint>& aUsed);

} // namespace Placement

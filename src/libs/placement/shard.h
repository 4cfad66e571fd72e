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
  /// Selected as owner; waits for the records of the previous owner or the caches of the peers.
  Collecting,
  /// Answers for the slot.
  Ready,
  /// Has sent its records to the next owner and no longer answers.
  HandedOver
};

/// Parts received of one peer's answer to a CollectRequest.
struct AwaitedPeer
{
  std::set<uint32_t> mParts;
  uint32_t mTotal = 0;
};

/// What an instance knows of the ownership of one tracked slot.
struct SlotRole
{
  RoleState mState = RoleState::Remote;
  /// Owner selected by the instance's membership view.
  Base::InstanceId mOwner;
  Base::Incarnation mOwnerIncarnation;
  Base::InstanceId mHandedTo;
  /// Time of the last change of state or owner.
  Base::TimePoint mSince;
  /// Last packet that this instance sent to an upstream other than the current one.
  Base::TimePoint mOlderUsed;
  /// While collecting.
  bool mAskedAll = false;
  std::map<Base::InstanceId, AwaitedPeer> mAwaited;
  Base::TimePoint mNextResend;
};

/// One service within a shard.
struct ServiceShard
{
  Settings mSettings;
  std::shared_ptr<const SlotTable> mTable;
  Upstreams mUpstreams;
  /// Status by index of mTable->mUpstreams.
  std::vector<UpstreamStatus> mByIndex;
  /// Roles of the tracked slots: ambiguous ones, and those whose current upstream takes no new
  /// flows. Bound: kSlots.
  std::map<uint16_t, SlotRole> mRoles;
  /// Hash of what decides which slots are tracked and who owns them.
  uint64_t mTrackedState = 0;
};

/// Packet state of the slots whose index modulo mCount is mIndex, for all services. Each shard has
/// its own lock in the program. Owned by the instance; FlowTable says what happens on its failure.
struct Shard
{
  uint32_t mIndex = 0;
  uint32_t mCount = 1;
  std::map<Base::ServiceGeneration, ServiceShard> mServices;
  /// Flows that this instance placed as slot owner.
  FlowTable mRecords;
  /// Answers of other owners.
  FlowTable mCache;
};

/// \return the key whose rendezvous hash selects the slot owner.
uint64_t
OwnerKey(Base::ServiceGeneration aGeneration, uint16_t aSlot);

/// Sets table, upstreams and view of a service. Starts, ends and hands on slot roles accordingly.
/// Call it after each change of one of them, and every 100 ms because drains take effect by time.
/// \param aIsIncremental see TableEffects::mIsIncremental; true if the table is the same.
void
UpdateService(Shard& aShard,
              std::shared_ptr<const SlotTable> aTable,
              const Upstreams& aUpstreams,
              const Settings& aSettings,
              const Membership::View& aView,
              bool aIsIncremental,
              Base::TimePoint aNow);

/// Forgets a service that was removed, with all its flows.
void
RemoveService(Shard& aShard, Base::ServiceGeneration aGeneration);

/// Adds the time of the last packet to an older upstream for each tracked slot of a service.
void
CollectUsage(const Shard& aShard,
             Base::ServiceGeneration aGeneration,
             std::map<uint16_t, Base::TimePoint>& aUsed);

} // namespace Placement

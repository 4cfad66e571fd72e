#pragma once

#include "base/endpoint.h"
#include "base/ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Placement {

/// Slots of one service in one region.
constexpr uint32_t kSlots = 4096;

/// Index that stands for no upstream.
constexpr uint16_t kNoUpstream = 0xFFFF;

/// Version of a slot table. A new publisher starts a higher epoch, see MakeEpoch.
struct TableVersion
{
  uint64_t mEpoch = 0;
  uint64_t mCounter = 0;
};

bool
operator==(const TableVersion& aLeft, const TableVersion& aRight);
bool
operator!=(const TableVersion& aLeft, const TableVersion& aRight);
bool
operator<(const TableVersion& aLeft, const TableVersion& aRight);

/// \return "epoch.counter by publisher" for logs.
std::string
ToString(const TableVersion& aVersion);

/// \return the epoch after aHighest for this publisher. The low 32 bits hold the publisher's id, so
/// that two members that both act as publisher never issue the same version.
uint64_t
MakeEpoch(uint64_t aHighest, Base::InstanceId aPublisher);

/// An upstream that a slot had before its current one.
struct HistoryEntry
{
  uint16_t mUpstream = kNoUpstream;
  /// Version that replaced it.
  TableVersion mReplacedIn;
  /// Flows may have been placed elsewhere before the replacement, so the entry stays until the slot
  /// is idle even if the upstream is gone.
  bool mUntilIdle = false;
};

struct Slot
{
  uint16_t mCurrent = kNoUpstream;
  /// Derived from history and prepared change, for the packet path.
  bool mAmbiguous = false;
};

/// What a change does to one slot.
struct SlotChange
{
  uint16_t mTarget = kNoUpstream;
  /// History that remains, oldest first.
  std::vector<HistoryEntry> mKept;
  /// The replaced upstream stays in the history until the slot is idle.
  bool mUntilIdle = false;
};

struct PreparedChange
{
  TableVersion mVersion;
  std::map<uint16_t, SlotChange> mSlots;
};

/// Slot table of one service. Owned by the table publisher of the region, copied to all members;
/// after a failure of the publisher the next one takes the newest copy. Bound: kSlots.
struct SlotTable
{
  Base::ServiceGeneration mGeneration;
  TableVersion mVersion;
  /// Upstreams that the slots refer to by index. An entry is replaced only when nothing refers to
  /// it.
  std::vector<Base::Endpoint> mUpstreams;
  std::vector<Slot> mSlots = std::vector<Slot>(kSlots);
  std::map<uint16_t, std::vector<HistoryEntry>> mHistory;
  std::optional<PreparedChange> mPrepared;
};

/// \return the slot of a flow.
uint16_t
SlotOf(Base::ServiceGeneration aGeneration,
       const Base::Endpoint& aCaller,
       const Base::Endpoint& aService);

/// Starts a change: its slots become ambiguous and history entries that it drops no longer decide
/// where unknown flows belong.
void
Prepare(SlotTable& aTable, PreparedChange aChange);

/// Fills in version and mUntilIdle of the entries that a received change keeps; a message carries
/// only their upstreams.
void
RestoreKeptEntries(const SlotTable& aTable, PreparedChange& aChange);

/// Completes the prepared change. Does nothing if there is none.
void
Activate(SlotTable& aTable);

/// \return the upstreams to which a mid-flow packet without record may belong, in the order of
/// preference: oldest of the history first, current upstream last.
std::vector<uint16_t>
DefaultOrder(const SlotTable& aTable, uint16_t aSlot);

/// Recomputes Slot::mAmbiguous after history or prepared change were replaced.
void
MarkAmbiguous(SlotTable& aTable);

} // namespace Placement

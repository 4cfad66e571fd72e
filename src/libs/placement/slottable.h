#pragma once

#include "base/endpoint.h"
#include "base/ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Placement {

/// Number of slots of one service in one region.
constexpr uint32_t kSlots = 4096;

/// Index that stands for no upstream.
constexpr uint16_t kNoUpstream = 0xFFFF;

/// Version of a slot table. Each new publisher starts a higher epoch, see MakeEpoch.
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

/// \return the epoch that follows aHighest. The low 32 bits hold the publisher's id, so that two
/// members that both act as publisher never use the same version.
uint64_t
MakeEpoch(uint64_t aHighest, Base::InstanceId aPublisher);

/// A former upstream of a slot.
struct HistoryEntry
{
  uint16_t mUpstream = kNoUpstream;
  /// Table version in which the upstream was replaced.
  TableVersion mReplacedIn;
  /// Keeps the entry until the slot is idle even if the upstream is gone, because flows may have
  /// been placed elsewhere before the replacement.
  bool mUntilIdle = false;
};

struct Slot
{
  uint16_t mCurrent = kNoUpstream;
  /// The slot has a history or a prepared change. Computed by MarkAmbiguous for the packet path.
  bool mAmbiguous = false;
};

/// Change of one slot.
struct SlotChange
{
  uint16_t mTarget = kNoUpstream;
  /// Remaining history, oldest entry first.
  std::vector<HistoryEntry> mKept;
  /// Value of HistoryEntry::mUntilIdle for the replaced upstream.
  bool mUntilIdle = false;
};

struct PreparedChange
{
  TableVersion mVersion;
  std::map<uint16_t, SlotChange> mSlots;
};

/// Slot table of one service, with kSlots slots. Written by the table publisher of the region and
/// copied to all members; after a failure of the publisher, the next one takes over the newest
/// copy.
struct SlotTable
{
  Base::ServiceGeneration mGeneration;
  TableVersion mVersion;
  /// Upstreams, referenced by index. An entry is replaced only if nothing refers to it.
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

/// Starts a change: its slots become ambiguous, and history entries that it drops no longer
/// determine the upstream of unknown flows.
void
Prepare(SlotTable& aTable, PreparedChange aChange);

/// Restores version and mUntilIdle of the history entries that a received change keeps, since
/// messages contain only their upstreams.
void
RestoreKeptEntries(const SlotTable& aTable, PreparedChange& aChange);

/// Completes the prepared change. Does nothing if there is none.
void
Activate(SlotTable& aTable);

/// \return the possible upstreams of a mid-flow packet without record, in order of preference: the
/// history from the oldest entry on, then the current upstream.
std::vector<uint16_t>
DefaultOrder(const SlotTable& aTable, uint16_t aSlot);

/// Recomputes Slot::mAmbiguous after a change of the history or the prepared change.
void
MarkAmbiguous(SlotTable& aTable);

} // namespace Placement

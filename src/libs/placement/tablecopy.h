#pragma once

#include "placement/messages.h"
#include "placement/slottable.h"

#include <vector>

namespace Placement {

/// An instance's copy of a slot table. Each instance owns its copy and gets a new one from the
/// publisher or a peer after a restart. Bound: one table.
struct TableCopy
{
  SlotTable mTable;
  /// Messages of publishers with lower epochs are ignored.
  uint64_t mHighestEpoch = 0;
};

/// What a call asks for.
struct TableEffects
{
  std::vector<Outgoing> mSend;
  bool mTableChanged = false;
  /// Slots became ambiguous by a prepared change on the previous version, so that no owner can have
  /// recorded flows in them before. False after a whole table was taken over.
  bool mIsIncremental = false;
};

/// \return the version of the prepared change, or that of the table.
TableVersion
NewestVersion(const SlotTable& aTable);

/// Handles a publisher's prepare, activate, report or table state, and the queries of others.
/// \return effects, or InvalidArgument for a malformed message.
absl::StatusOr<TableEffects>
HandleTableMessage(TableCopy& aCopy,
                   Base::InstanceId aSender,
                   const lw::placement::PlacementMessage& aMessage);

} // namespace Placement

#pragma once

#include "placement/messages.h"
#include "placement/slottable.h"

#include <vector>

namespace Placement {

/// An instance's copy of a slot table. After a restart, the instance gets a new copy from the
/// publisher or a peer.
struct TableCopy
{
  SlotTable mTable;
  /// Highest epoch seen. Messages from publishers with lower epochs are ignored.
  uint64_t mHighestEpoch = 0;
};

/// Effects of a call on the caller: messages to send and whether the table changed.
struct TableEffects
{
  std::vector<Outgoing> mSend;
  bool mTableChanged = false;
  /// The change was prepared on or activated from the previous version, so that no owner can have
  /// recorded flows in newly ambiguous slots. False if the whole table was replaced.
  bool mIsIncremental = false;
};

/// \return the version of the prepared change, or that of the table.
TableVersion
NewestVersion(const SlotTable& aTable);

/// Handles a publisher's prepare, activate, report or table state, and the queries of others.
/// \return the effects, or InvalidArgument for a malformed message.
absl::StatusOr<TableEffects>
HandleTableMessage(TableCopy& aCopy,
                   Base::InstanceId aSender,
                   const lw::placement::PlacementMessage& aMessage);

} // namespace Placement

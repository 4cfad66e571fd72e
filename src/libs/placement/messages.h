#pragma once

#include "absl/status/statusor.h"
#include "placement/slottable.h"

#include "placement.pb.h"

#include <vector>

namespace Placement {

/// A message to another instance of the region.
struct Outgoing
{
  Base::InstanceId mTo;
  lw::placement::PlacementMessage mMessage;
};

/// Unpacks an address from a message.
Base::Endpoint
UnpackEndpoint(uint64_t aPacked);

lw::placement::TableVersion
Encode(const TableVersion& aVersion);

TableVersion
Decode(const lw::placement::TableVersion& aVersion);

/// Encodes the table's prepared change relative to the table.
lw::placement::TableChange
EncodePrepared(const SlotTable& aTable);

/// A change as received.
struct ReceivedChange
{
  TableVersion mBase;
  std::vector<Base::Endpoint> mUpstreams;
  PreparedChange mChange;
};

/// \return the change, or InvalidArgument if lists do not match or an index is out of range.
absl::StatusOr<ReceivedChange>
DecodeChange(const lw::placement::TableChange& aChange);

/// Encodes a whole table with its prepared change.
lw::placement::TableState
EncodeState(const SlotTable& aTable);

/// \copydoc DecodeChange
absl::StatusOr<SlotTable>
DecodeState(const lw::placement::TableState& aState, Base::ServiceGeneration aGeneration);

} // namespace Placement

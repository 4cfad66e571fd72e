#pragma once

#include "absl/status/statusor.h"
#include "placement/slottable.h"

#include "placement.pb.h"

#include <vector>

namespace Placement {

/// A message to another entry instance of the region.
struct Outgoing
{
  Base::InstanceId mTo;
  lw::placement::PlacementMessage mMessage;
};

/// Unpacks an endpoint that Base::Pack has packed.
Base::Endpoint
UnpackEndpoint(uint64_t aPacked);

lw::placement::TableVersion
Encode(const TableVersion& aVersion);

TableVersion
Decode(const lw::placement::TableVersion& aVersion);

/// Encodes the table's prepared change relative to the table.
lw::placement::TableChange
EncodePrepared(const SlotTable& aTable);

/// A change decoded from a message.
struct ReceivedChange
{
  TableVersion mBase;
  std::vector<Base::Endpoint> mUpstreams;
  PreparedChange mChange;
};

/// \return the change, or InvalidArgument if list lengths differ or an index is out of range.
absl::StatusOr<ReceivedChange>
DecodeChange(const lw::placement::TableChange& aChange);

/// Encodes a whole table with its prepared change.
lw::placement::TableState
EncodeState(const SlotTable& aTable);

/// \copydoc DecodeChange
absl::StatusOr<SlotTable>
DecodeState(const lw::placement::TableState& aState, Base::ServiceGeneration aGeneration);

} // namespace Placement

#pragma once

#include "placement/slottable.h"
#include "placement/upstreams.h"

#include <optional>
#include <vector>

namespace Placement {

/// Number of slots that each upstream should have.
/// \param aWeights are relative; an upstream with weight 0 gets none.
/// \param aPresent slots that each has now; decides who gets the slots left over by rounding, so
/// that few move.
/// \return counts that add up to kSlots, or zeros if all weights are 0. At equal weight they differ
/// by at most one.
std::vector<uint32_t>
TargetCounts(const std::vector<uint64_t>& aWeights, const std::vector<uint32_t>& aPresent);

/// Plans the next change of a table: slots of upstreams that take no new flows go to others, shares
/// are evened out with few moves, and history entries that are no longer needed are dropped.
/// \param aIdle for each slot whether no packet went to an older upstream for the flow idle time.
/// \return the change without version, or nothing if the table is as it should be.
std::optional<PreparedChange>
PlanChange(const SlotTable& aTable,
           const Upstreams& aUpstreams,
           const std::vector<bool>& aIdle,
           const Settings& aSettings,
           Base::TimePoint aNow);

/// Adds the endpoints that are missing in a table, in place of endpoints that nothing refers to any
/// more. PlanChange counts indexes as after this call.
void
AddPlannedUpstreams(SlotTable& aTable, const Upstreams& aUpstreams);

} // namespace Placement

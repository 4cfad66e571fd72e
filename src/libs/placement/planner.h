#pragma once

#include "placement/slottable.h"
#include "placement/upstreams.h"

#include <optional>
#include <vector>

namespace Placement {

/// Computes the number of slots that each upstream should have.
/// \param aWeights are relative; an upstream with weight 0 gets none.
/// \param aCurrent are the present numbers of slots. Among equal remainders, slots left over by
/// rounding go to the upstreams that have more, which reduces moves.
/// \return counts that add up to kSlots, or zeros if all weights are 0. At equal weight they differ
/// by at most one.
std::vector<uint32_t>
TargetCounts(const std::vector<uint64_t>& aWeights, const std::vector<uint32_t>& aCurrent);

/// Plans the next change of a table: moves slots away from upstreams with weight 0, balances the
/// shares with few moves, and drops history entries that are no longer needed.
/// \param aIdle tells for each slot whether no packet went to an older upstream for the flow idle
/// time.
/// \return the change without version, or nothing if none is needed.
std::optional<PreparedChange>
PlanChange(const SlotTable& aTable,
           const Upstreams& aUpstreams,
           const std::vector<bool>& aIdle,
           const Settings& aSettings,
           Base::TimePoint aNow);

/// Adds endpoints that are missing in a table, reusing indexes that nothing refers to. The indexes
/// in a planned change assume that this function has been called.
void
AddPlannedUpstreams(SlotTable& aTable, const Upstreams& aUpstreams);

} // namespace Placement

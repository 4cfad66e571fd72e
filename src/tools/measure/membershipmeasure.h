#pragma once

#include <cstdint>

namespace Measure {

/// Measures the control traffic, processor time and memory of membership, and how long a change
/// takes to reach all instances, for several sizes of an availability zone. Prints one line or one
/// JSON object for each size.
/// \return 0, or 1 if the control traffic of a size is above the limit of the target.
int
RunMembershipMeasure(uint64_t aSeed, bool aJson);

} // namespace Measure

#pragma once

#include <cstdint>

namespace Measure {

/// Measures the control traffic, processor time and memory of the membership protocol and the time
/// for a change to reach all instances, for several availability zone sizes. Prints one line or one
/// JSON object per size.
/// \return 0, or 1 if the control traffic exceeds the target for any size.
int
RunMembershipMeasure(uint64_t aSeed, bool aJson);

} // namespace Measure

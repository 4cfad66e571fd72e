#pragma once

#include "membership/view.h"

namespace Placement {

/// \return a hash of the members with their incarnations and states. Views with the same hash
/// select the same slot owners and publisher.
uint64_t
MembershipFingerprint(const Membership::View& aView);

} // namespace Placement

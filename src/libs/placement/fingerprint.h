#pragma once

#include "membership/view.h"

namespace Placement {

/// \return a hash of the members with their incarnations and states. Views with equal hashes select
/// the same owners and the same publisher.
uint64_t
MembershipFingerprint(const Membership::View& aView);

} // namespace Placement

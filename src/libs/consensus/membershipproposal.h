#pragma once

#include "consensus/node.h"

namespace Consensus::Internal {

/// Proposes the next membership change at the leader if no other change is in progress.
void
ProposeMembershipChange(Node& aNode, const Context& aContext, Output& aOutput);

} // namespace Consensus::Internal

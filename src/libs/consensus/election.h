#pragma once

#include "consensus/node.h"

namespace Consensus::Internal {

/// Starts a pre-vote, or directly a vote if the leader transferred its leadership.
void
StartElection(Node& aNode, const Context& aContext, bool aHandedOver, Output& aOutput);

/// Replies to a request for a pre-vote or a vote.
void
HandleVoteRequest(Node& aNode, const Context& aContext, const Message& aMessage, Output& aOutput);

void
HandleVoteReply(Node& aNode, const Context& aContext, const Message& aMessage, Output& aOutput);

} // namespace Consensus::Internal

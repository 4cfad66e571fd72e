#pragma once

#include "consensus/node.h"

namespace Consensus::Internal {

/// Starts a pre-vote, or a vote if the leader handed over.
void
StartElection(Node& aNode, const Context& aContext, bool aHandedOver, Output& aOutput);

/// Answers a pre-vote or vote.
void
HandleVoteRequest(Node& aNode, const Context& aContext, const Message& aMessage, Output& aOutput);

void
HandleVoteReply(Node& aNode, const Context& aContext, const Message& aMessage, Output& aOutput);

} // namespace Consensus::Internal

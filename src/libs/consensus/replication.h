#pragma once

#include "consensus/node.h"

namespace Consensus::Internal {

/// Sends each other replica the entries that it lacks, or a heartbeat.
void
SendToAll(Node& aNode, const Context& aContext, Output& aOutput);

/// Sends a heartbeat to replicas that got nothing for a heartbeat interval.
void
SendDueHeartbeats(Node& aNode, const Context& aContext, Output& aOutput);

/// \return true if a quorum answered within the last election timeout.
bool
HasQuorumContact(const Node& aNode, const Context& aContext);

void
HandleAppend(Node& aNode, const Context& aContext, const Message& aMessage, Output& aOutput);

void
HandleAppendReply(Node& aNode, const Context& aContext, const Message& aMessage, Output& aOutput);

/// Tells the leader which entries are synced here.
void
SendAppendReply(const Node& aNode, const Context& aContext, Output& aOutput);

/// Commits what a quorum has synced, at the leader.
void
AdvanceCommit(Node& aNode, Output& aOutput);

/// Commits what the leader has committed and this follower has synced.
void
AdvanceFollowerCommit(Node& aNode, Output& aOutput);

/// Answers reads whose heartbeat round is confirmed.
void
ConfirmReads(Node& aNode, Output& aOutput);

} // namespace Consensus::Internal

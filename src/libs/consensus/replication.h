#pragma once

#include "consensus/node.h"

namespace Consensus::Internal {

/// Sends every other replica the entries that it is missing, or a heartbeat.
void
SendToAll(Node& aNode, const Context& aContext, Output& aOutput);

/// Sends a heartbeat to every replica to which nothing was sent for a heartbeat interval.
void
SendDueHeartbeats(Node& aNode, const Context& aContext, Output& aOutput);

/// \return true if a quorum replied within the last election timeout.
bool
HasQuorumContact(const Node& aNode, const Context& aContext);

void
HandleAppend(Node& aNode, const Context& aContext, const Message& aMessage, Output& aOutput);

void
HandleAppendReply(Node& aNode, const Context& aContext, const Message& aMessage, Output& aOutput);

/// Reports to the leader up to which entry this replica's log is synced.
void
SendAppendReply(const Node& aNode, const Context& aContext, Output& aOutput);

/// Advances the leader's commit index to the last entry that a quorum has synced.
void
AdvanceCommit(Node& aNode, Output& aOutput);

/// Advances the follower's commit index to the last entry that the leader has committed and this
/// follower has synced.
void
AdvanceFollowerCommit(Node& aNode, Output& aOutput);

/// Completes reads whose heartbeat round was confirmed by a quorum.
void
ConfirmReads(Node& aNode, Output& aOutput);

} // namespace Consensus::Internal

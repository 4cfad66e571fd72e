#pragma once

#include "consensus/node.h"

namespace Consensus::Internal {

StorageId
OwnStorageId(const Node& aNode);

/// Creates a message with sender, receiver and the current term.
Message
MakeMessage(const Node& aNode, const Context& aContext, Base::InstanceId aTo, StorageId aToStorage);

/// Creates a reply to the replica that sent aRequest.
Message
MakeReply(const Node& aNode, const Context& aContext, const Message& aRequest);

/// Sets the election deadline to a random time one to two election timeouts from now.
void
ResetElectionDeadline(Node& aNode, const Context& aContext);

/// Sets the election deadline to a random time one to two pre-vote intervals from now.
void
SetPreVoteDeadline(Node& aNode, const Context& aContext);

/// Sets the election deadline for a vote in a new term to a random time one to two waits from now.
/// The wait starts at Settings::mVoteRetryInterval and doubles with each term without a commit.
void
StartVoteWait(Node& aNode, const Context& aContext);

/// Starts the wait again if StartVoteWait was called in the previous call of the node. The term and
/// the vote are synced between the two calls, so the wait starts after the sync. It is extended by
/// the time that the voters need for their syncs.
void
RestartVoteWait(Node& aNode, const Context& aContext);

/// Resets the state that depends on the current leader, at the start of a term.
void
ResetLeaderState(Node& aNode);

/// Makes the node a follower, and moves it to aTerm if that is later. Pending reads fail.
void
BecomeFollower(Node& aNode, const Context& aContext, Term aTerm, Output& aOutput);

/// Makes the node the leader of the current term and appends the first entry of that term.
void
BecomeLeader(Node& aNode, const Context& aContext, Output& aOutput);

/// Appends an entry with the current term and the next index.
/// \return the index of the entry.
LogIndex
AppendInCurrentTerm(Node& aNode, Entry aEntry, Output& aOutput);

/// Appends the entry to the log. A membership in it takes effect immediately.
void
AppendToLog(Node& aNode, const Entry& aEntry, Output& aOutput);

/// Removes the uncommitted entries from aIndex on and the memberships that they contain.
void
TruncateLogFrom(Node& aNode, LogIndex aIndex);

/// Adds newly committed entries to Output::mApply and completes the reads that waited for them.
void
AdvanceApplied(Node& aNode, Output& aOutput);

} // namespace Consensus::Internal

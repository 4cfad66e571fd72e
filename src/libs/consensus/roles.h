#pragma once

#include "consensus/node.h"

namespace Consensus::Internal {

StorageId
OwnStorage(const Node& aNode);

/// Starts a message with sender, receiver and the current term.
Message
MakeMessage(const Node& aNode, const Context& aContext, Base::InstanceId aTo, StorageId aToStorage);

/// Starts a reply to the replica that sent aRequest.
Message
MakeReply(const Node& aNode, const Context& aContext, const Message& aRequest);

/// Sets the deadline for an election to one to two election timeouts from now.
void
ResetElectionDeadline(Node& aNode, const Context& aContext);

/// Sets the time of the next pre-vote of an instance that knows no leader.
void
SetPreVoteDeadline(Node& aNode, const Context& aContext);

/// Resets what holds for one leader only, at the start of a term.
void
ForgetLeader(Node& aNode);

/// Becomes a follower, in a later term if aTerm is larger. Waiting reads fail.
void
BecomeFollower(Node& aNode, const Context& aContext, Term aTerm, Output& aOutput);

/// Leads the current term, beginning with an entry of that term.
void
BecomeLeader(Node& aNode, const Context& aContext, Output& aOutput);

/// Appends an entry of the leader's own term.
LogIndex
AppendOwn(Node& aNode, Entry aEntry, Output& aOutput);

/// Puts entries into the log and notes the memberships among them.
void
AppendToLog(Node& aNode, const Entry& aEntry, Output& aOutput);

/// Removes unconfirmed entries from aIndex on, with their memberships.
void
RemoveEntriesFrom(Node& aNode, LogIndex aIndex);

/// Hands out committed entries for applying and answers reads that waited for them.
void
AdvanceApplied(Node& aNode, Output& aOutput);

} // namespace Consensus::Internal

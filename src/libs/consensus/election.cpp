#include "consensus/election.h"

#include "consensus/roles.h"

#include <algorithm>

namespace Consensus::Internal {

namespace {

/// Sends a vote request to every other voter.
void
AskForVotes(Node& aNode, const Context& aContext, Output& aOutput)
{
  const bool preVote = aNode.mRole == Role::PreCandidate;
  for (const lw::consensus::Replica& replica : CurrentMembership(aNode).replicas()) {
    if (!replica.voter() || replica.storage() == OwnStorageId(aNode).mValue) {
      continue;
    }
    Message message = MakeMessage(
      aNode, aContext, Base::InstanceId(replica.instance()), StorageId(replica.storage()));
    lw::consensus::VoteRequest* request = message.mutable_vote_request();
    request->set_pre_vote(preVote);
    request->set_proposed_term(aNode.mHardState.mTerm + (preVote ? 1 : 0));
    request->set_last_index(LastIndex(aNode.mLog));
    request->set_last_term(LastTerm(aNode.mLog));
    request->set_handed_over(aNode.mHandedOver);
    aOutput.mMessages.push_back(std::move(message));
  }
}

bool
IsQuorum(const Node& aNode, const std::set<StorageId>& aVotes)
{
  return HasQuorum(CurrentMembership(aNode),
                   [&](StorageId aStorage) { return aVotes.count(aStorage) != 0; });
}

void
CountVotes(Node& aNode, const Context& aContext, Output& aOutput)
{
  if (IsQuorum(aNode, aNode.mVotes)) {
    BecomeLeader(aNode, aContext, aOutput);
  }
}

void
StartVote(Node& aNode, const Context& aContext, Output& aOutput)
{
  ++aNode.mTermsWithoutCommit;
  StartVoteWait(aNode, aContext);
  aNode.mRole = Role::Candidate;
  ++aNode.mHardState.mTerm;
  aNode.mHardState.mVotedFor = OwnStorageId(aNode);
  ResetLeaderState(aNode);
  aOutput.mHardState = aNode.mHardState;
  aNode.mVotes = { OwnStorageId(aNode) };
  AskForVotes(aNode, aContext, aOutput);
  CountVotes(aNode, aContext, aOutput);
}

void
CountPreVotes(Node& aNode, const Context& aContext, Output& aOutput)
{
  if (IsQuorum(aNode, aNode.mPreVotes)) {
    StartVote(aNode, aContext, aOutput);
  }
}

bool
IsUpToDate(const Node& aNode, const lw::consensus::VoteRequest& aRequest)
{
  const Term lastTerm = LastTerm(aNode.mLog);
  return aRequest.last_term() > lastTerm ||
         (aRequest.last_term() == lastTerm && aRequest.last_index() >= LastIndex(aNode.mLog));
}

bool
CanGrantVote(const Node& aNode, const lw::consensus::VoteRequest& aRequest, StorageId aCandidate)
{
  const HardState& own = aNode.mHardState;
  if (!IsUpToDate(aNode, aRequest) || aRequest.proposed_term() < own.mTerm) {
    return false;
  }
  if (aRequest.proposed_term() > own.mTerm) {
    return true;
  }
  const bool voteIsFree = own.mVotedFor == StorageId() || own.mVotedFor == aCandidate;
  return !aRequest.pre_vote() && voteIsFree;
}

} // namespace

void
StartElection(Node& aNode, const Context& aContext, bool aHandedOver, Output& aOutput)
{
  ResetElectionDeadline(aNode, aContext);
  if (!IsVoter(CurrentMembership(aNode), OwnStorageId(aNode))) {
    return;
  }
  aNode.mLeader = Base::InstanceId();
  aNode.mHandedOver = aHandedOver;
  if (aHandedOver) {
    StartVote(aNode, aContext, aOutput);
    return;
  }
  SetPreVoteDeadline(aNode, aContext);
  aNode.mRole = Role::PreCandidate;
  aNode.mPreVotes = { OwnStorageId(aNode) };
  AskForVotes(aNode, aContext, aOutput);
  CountPreVotes(aNode, aContext, aOutput);
}

void
HandleVoteRequest(Node& aNode, const Context& aContext, const Message& aMessage, Output& aOutput)
{
  const lw::consensus::VoteRequest& request = aMessage.vote_request();
  const StorageId candidate(aMessage.from_storage());
  // A replica that was removed while it was unreachable must not trigger elections.
  if (IsRetired(CurrentMembership(aNode), candidate)) {
    return;
  }
  // While this replica is in contact with the leader, a candidate that lost contact must not start
  // a new term.
  const bool disturbs = !request.handed_over() && IsConnected(aNode, aContext);
  if (!disturbs && !request.pre_vote() && request.proposed_term() > aNode.mHardState.mTerm) {
    BecomeFollower(aNode, aContext, request.proposed_term(), aOutput);
  }
  const bool granted = !disturbs && CanGrantVote(aNode, request, candidate);
  if (granted && !request.pre_vote()) {
    aNode.mHardState.mVotedFor = candidate;
    aOutput.mHardState = aNode.mHardState;
    StartVoteWait(aNode, aContext);
  } else if (granted && aNode.mLeader == Base::InstanceId()) {
    // Lets the candidate win before this replica asks for votes itself, so that the votes are not
    // split. The candidate sends no messages while it syncs its vote.
    const Base::TimePoint deadline = aNode.mElectionDeadline;
    SetPreVoteDeadline(aNode, aContext);
    aNode.mElectionDeadline = std::max(aNode.mElectionDeadline + aNode.mVoteSync, deadline);
  }
  Message message = MakeReply(aNode, aContext, aMessage);
  lw::consensus::VoteReply* reply = message.mutable_vote_reply();
  reply->set_pre_vote(request.pre_vote());
  reply->set_proposed_term(request.proposed_term());
  reply->set_granted(granted);
  aOutput.mMessages.push_back(std::move(message));
}

void
HandleVoteReply(Node& aNode, const Context& aContext, const Message& aMessage, Output& aOutput)
{
  const lw::consensus::VoteReply& reply = aMessage.vote_reply();
  const Term proposed = aNode.mHardState.mTerm + (reply.pre_vote() ? 1 : 0);
  if (!reply.granted() || reply.proposed_term() != proposed) {
    return;
  }
  const StorageId voter(aMessage.from_storage());
  const bool preCandidate = aNode.mRole == Role::PreCandidate;
  if (reply.pre_vote() && preCandidate) {
    aNode.mPreVotes.insert(voter);
    CountPreVotes(aNode, aContext, aOutput);
    return;
  }
  const bool candidate = aNode.mRole == Role::Candidate || (preCandidate && !aNode.mVotes.empty());
  if (!reply.pre_vote() && candidate) {
    aNode.mVotes.insert(voter);
    CountVotes(aNode, aContext, aOutput);
  }
}

} // namespace Consensus::Internal

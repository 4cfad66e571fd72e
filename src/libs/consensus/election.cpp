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

void
StartVote(Node& aNode, const Context& aContext, Output& aOutput);

void
CountVotes(Node& aNode, const Context& aContext, Output& aOutput)
{
  const bool won = HasQuorum(CurrentMembership(aNode),
                             [&](StorageId aStorage) { return aNode.mVotes.count(aStorage) != 0; });
  if (!won) {
    return;
  }
  if (aNode.mRole == Role::PreCandidate) {
    StartVote(aNode, aContext, aOutput);
  } else {
    BecomeLeader(aNode, aContext, aOutput);
  }
}

void
StartVote(Node& aNode, const Context& aContext, Output& aOutput)
{
  ResetElectionDeadline(aNode, aContext);
  aNode.mRole = Role::Candidate;
  ++aNode.mHardState.mTerm;
  aNode.mHardState.mVotedFor = OwnStorageId(aNode);
  ResetLeaderState(aNode);
  aOutput.mHardState = aNode.mHardState;
  aNode.mVotes = { OwnStorageId(aNode) };
  AskForVotes(aNode, aContext, aOutput);
  CountVotes(aNode, aContext, aOutput);
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
  aNode.mVotes = { OwnStorageId(aNode) };
  AskForVotes(aNode, aContext, aOutput);
  CountVotes(aNode, aContext, aOutput);
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
    ResetElectionDeadline(aNode, aContext);
  } else if (granted && aNode.mLeader == Base::InstanceId()) {
    // Lets the candidate win before this replica asks for votes itself, so that the votes are not
    // split.
    const Base::TimePoint deadline = aNode.mElectionDeadline;
    SetPreVoteDeadline(aNode, aContext);
    aNode.mElectionDeadline = std::max(aNode.mElectionDeadline, deadline);
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
  const bool preVote = aNode.mRole == Role::PreCandidate;
  const bool awaited = preVote || aNode.mRole == Role::Candidate;
  const Term proposed = aNode.mHardState.mTerm + (preVote ? 1 : 0);
  if (!awaited || reply.pre_vote() != preVote || reply.proposed_term() != proposed ||
      !reply.granted()) {
    return;
  }
  aNode.mVotes.insert(StorageId(aMessage.from_storage()));
  CountVotes(aNode, aContext, aOutput);
}

} // namespace Consensus::Internal

#include "consensus/node.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using std::chrono::milliseconds;

namespace {

constexpr uint64_t kOwn = 100;
constexpr uint64_t kOther = 200;
constexpr uint64_t kThird = 300;

Consensus::Membership
ThreeVoters()
{
  Consensus::Membership membership;
  uint32_t instance = 0;
  for (const uint64_t storage : { kOwn, kOther, kThird }) {
    lw::consensus::Replica* replica = membership.add_replicas();
    replica->set_instance(++instance);
    replica->set_storage(storage);
    replica->set_voter(true);
  }
  return membership;
}

} // namespace

TEST_GROUP(Voting)
{
  Consensus::Settings mSettings;
  Base::RandomSource mRandom{ 1 };
  Base::TimePoint mNow;
  Consensus::Node mNode;

  void setup() override
  {
    mSettings.mSelf = Base::InstanceId(1);
    for (uint32_t instance = 1; instance <= 3; ++instance) {
      mSettings.mInstances.emplace_back(instance);
    }
    Consensus::Restored restored;
    restored.mHardState = { Consensus::StorageId(kOwn), 3, Consensus::StorageId() };
    Consensus::Entry first;
    first.set_term(1);
    first.set_index(1);
    first.set_kind(lw::consensus::MEMBERSHIP);
    *first.mutable_membership() = ThreeVoters();
    Consensus::Entry second;
    second.set_term(2);
    second.set_index(2);
    restored.mEntries = { first, second };
    mNode = Consensus::Restore(Context(), restored);
  }

  Consensus::Context Context()
  {
    return { mNow, mSettings, mRandom };
  }

  Consensus::Message From(uint64_t aStorage, Consensus::Term aTerm)
  {
    Consensus::Message message;
    message.set_from(static_cast<uint32_t>(aStorage / 100));
    message.set_from_storage(aStorage);
    message.set_to(1);
    message.set_to_storage(kOwn);
    message.set_term(aTerm);
    return message;
  }

  Consensus::Output Vote(
    uint64_t aStorage, Consensus::Term aTerm, uint64_t aLastIndex, Consensus::Term aLastTerm)
  {
    Consensus::Message message = From(aStorage, aTerm);
    message.mutable_vote_request()->set_proposed_term(aTerm);
    message.mutable_vote_request()->set_last_index(aLastIndex);
    message.mutable_vote_request()->set_last_term(aLastTerm);
    return Consensus::Receive(mNode, Context(), message);
  }

  bool IsGranted(const Consensus::Output& aOutput)
  {
    LONGS_EQUAL(1, aOutput.mMessages.size());
    return aOutput.mMessages[0].vote_reply().granted();
  }

  /// Makes the node the leader with the vote of kOther.
  Consensus::Output Lead()
  {
    mNow = mNode.mElectionDeadline;
    Consensus::Tick(mNode, Context());
    for (const bool preVote : { true, false }) {
      Consensus::Message message = From(kOther, preVote ? 3 : 4);
      message.mutable_vote_reply()->set_pre_vote(preVote);
      message.mutable_vote_reply()->set_proposed_term(4);
      message.mutable_vote_reply()->set_granted(true);
      Consensus::Output output = Consensus::Receive(mNode, Context(), message);
      if (!preVote) {
        return output;
      }
    }
    return {};
  }

  Consensus::Output ReceiveVote(uint64_t aStorage, Consensus::Term aTerm, bool aPreVote)
  {
    Consensus::Message message = From(aStorage, aPreVote ? aTerm - 1 : aTerm);
    message.mutable_vote_reply()->set_pre_vote(aPreVote);
    message.mutable_vote_reply()->set_proposed_term(aTerm);
    message.mutable_vote_reply()->set_granted(true);
    return Consensus::Receive(mNode, Context(), message);
  }

  /// Makes the node a candidate in the next term, and ends the sync of its vote after aSync.
  void StartVote(milliseconds aSync)
  {
    mNow = mNode.mElectionDeadline;
    Consensus::Tick(mNode, Context());
    ReceiveVote(kOther, mNode.mHardState.mTerm + 1, true);
    CHECK_TRUE(mNode.mRole == Consensus::Role::Candidate);
    mNow += aSync;
    Consensus::Tick(mNode, Context());
  }

  void CheckWait(Base::Duration aMin, Base::Duration aMax)
  {
    CHECK_TRUE(mNode.mElectionDeadline - mNow >= aMin);
    CHECK_TRUE(mNode.mElectionDeadline - mNow <= aMax);
  }

  Consensus::Output Synced(uint64_t aStorage, uint64_t aIndex, uint64_t aRound)
  {
    Consensus::Message message = From(aStorage, 4);
    message.mutable_append_reply()->set_matched(true);
    message.mutable_append_reply()->set_synced_index(aIndex);
    message.mutable_append_reply()->set_round(aRound);
    return Consensus::Receive(mNode, Context(), message);
  }
};

// Guards against two votes in one term, including a first vote that was given before a restart.
TEST(Voting, GrantsOneVoteInATermAndRecordsItFirst)
{
  const Consensus::Output first = Vote(kOther, 5, 2, 2);
  CHECK_TRUE(IsGranted(first));
  CHECK_TRUE(first.mHardState.has_value());
  LONGS_EQUAL(5, first.mHardState->mTerm);
  CHECK_TRUE(first.mHardState->mVotedFor == Consensus::StorageId(kOther));
  CHECK_FALSE(IsGranted(Vote(kThird, 5, 9, 4)));
  Consensus::Restored restored;
  restored.mHardState = *first.mHardState;
  mNode = Consensus::Restore(Context(), restored);
  CHECK_FALSE(IsGranted(Vote(kThird, 5, 9, 4)));
  CHECK_TRUE(IsGranted(Vote(kOther, 5, 9, 4)));
}

// Guards against split votes after a common restart, when all replicas ask at about the same time.
TEST(Voting, GrantedPreVotePostponesTheOwnOne)
{
  mNow = mNode.mElectionDeadline;
  Consensus::Message message = From(kOther, 3);
  message.mutable_vote_request()->set_pre_vote(true);
  message.mutable_vote_request()->set_proposed_term(4);
  message.mutable_vote_request()->set_last_index(2);
  message.mutable_vote_request()->set_last_term(2);
  CHECK_TRUE(IsGranted(Consensus::Receive(mNode, Context(), message)));
  mNow += mSettings.mPreVoteInterval - milliseconds(1);
  CHECK_TRUE(Consensus::Tick(mNode, Context()).mMessages.empty());
  mNow += mSettings.mPreVoteInterval + milliseconds(1);
  LONGS_EQUAL(2, Consensus::Tick(mNode, Context()).mMessages.size());
}

// Guards against electing a leader that lacks committed entries.
TEST(Voting, RefusesCandidatesWhoseLogIsBehind)
{
  CHECK_FALSE(IsGranted(Vote(kOther, 5, 1, 2)));
  CHECK_FALSE(IsGranted(Vote(kOther, 6, 7, 1)));
  CHECK_TRUE(IsGranted(Vote(kOther, 7, 1, 3)));
}

// Guards against an empty replacement that answers vote requests addressed to the lost replica.
TEST(Voting, IgnoresMessagesForAnotherStorageId)
{
  Consensus::Message message = From(kOther, 9);
  message.set_to_storage(kOwn + 1);
  message.mutable_vote_request()->set_proposed_term(9);
  message.mutable_vote_request()->set_last_index(9);
  message.mutable_vote_request()->set_last_term(9);
  CHECK_TRUE(Consensus::Receive(mNode, Context(), message).mMessages.empty());
  LONGS_EQUAL(3, mNode.mHardState.mTerm);
}

// Guards against a candidate that disrupts a leader which is still in contact with its followers.
TEST(Voting, RefusesWhileItHearsTheLeader)
{
  Consensus::Message heartbeat = From(kOther, 3);
  heartbeat.mutable_append();
  Consensus::Receive(mNode, Context(), heartbeat);
  CHECK_FALSE(IsGranted(Vote(kThird, 9, 9, 9)));
  LONGS_EQUAL(3, mNode.mHardState.mTerm);
  mNow += mSettings.mElectionTimeout;
  CHECK_TRUE(IsGranted(Vote(kThird, 9, 9, 9)));
}

// Guards against committing an entry of an earlier term that a quorum has but that a later leader
// may still replace.
TEST(Voting, CommitsEarlierTermsOnlyUnderTheOwnTerm)
{
  Lead();
  CHECK_TRUE(mNode.mRole == Consensus::Role::Leader);
  Consensus::EntriesSynced(mNode, Context(), 3, 4);
  CHECK_TRUE(Synced(kOther, 2, 0).mApply.empty());
  LONGS_EQUAL(0, mNode.mCommitIndex);
  LONGS_EQUAL(3, Synced(kOther, 3, 0).mApply.size());
}

// Guards against the leader counting its own entry before it is synced to disk.
TEST(Voting, LeaderCountsItselfOnlyOnceSynced)
{
  Lead();
  Synced(kOther, 3, 0);
  LONGS_EQUAL(0, mNode.mCommitIndex);
  Consensus::EntriesSynced(mNode, Context(), 3, 4);
  LONGS_EQUAL(3, mNode.mCommitIndex);
}

// Guards against a read that is confirmed by an earlier heartbeat round or that misses entries of
// the previous leader.
TEST(Voting, ReadWaitsForALaterRoundAndTheOwnTerm)
{
  Lead();
  Consensus::EntriesSynced(mNode, Context(), 3, 4);
  CHECK_TRUE(Consensus::RequestRead(mNode, Context(), 7).mConfirmedReads.empty());
  CHECK_TRUE(Synced(kOther, 2, 1).mConfirmedReads.empty());
  LONGS_EQUAL(7, Synced(kOther, 3, 1).mConfirmedReads.at(0));
  CHECK_TRUE(Consensus::RequestRead(mNode, Context(), 8).mConfirmedReads.empty());
  CHECK_TRUE(Synced(kOther, 3, 1).mConfirmedReads.empty());
  LONGS_EQUAL(8, Synced(kThird, 0, 2).mConfirmedReads.at(0));
}

// Guards against reads that never complete, and against a leader that continues without a quorum.
TEST(Voting, LeaderWithoutQuorumStepsDownAndFailsItsReads)
{
  Lead();
  Consensus::EntriesSynced(mNode, Context(), 3, 4);
  Consensus::RequestRead(mNode, Context(), 7);
  mNow += mSettings.mElectionTimeout;
  const Consensus::Output output = Consensus::Tick(mNode, Context());
  CHECK_TRUE(mNode.mRole == Consensus::Role::Follower);
  LONGS_EQUAL(7, output.mFailedReads.at(0));
  LONGS_EQUAL(4, mNode.mHardState.mTerm);
}

// Guards against a candidate that discards its votes when they arrive after its first retry, and
// against a leader of a term that has ended.
TEST(Voting, CandidateWinsLateUnlessThereIsANewerTerm)
{
  for (const bool newerTerm : { false, true }) {
    setup();
    StartVote(milliseconds(1));
    mNow = mNode.mElectionDeadline;
    Consensus::Tick(mNode, Context());
    CHECK_TRUE(mNode.mRole == Consensus::Role::PreCandidate);
    if (newerTerm) {
      Vote(kOther, 5, 1, 1);
    }
    ReceiveVote(kThird, 4, false);
    CHECK_EQUAL(newerTerm, mNode.mRole != Consensus::Role::Leader);
    LONGS_EQUAL(newerTerm ? 5 : 4, mNode.mHardState.mTerm);
  }
}

// Guards against counting replies to a pre-vote as votes, in a replica that was no candidate.
TEST(Voting, PreCandidateWithoutAVoteIsNotElected)
{
  mNow = mNode.mElectionDeadline;
  Consensus::Tick(mNode, Context());
  ReceiveVote(kOther, 3, false);
  ReceiveVote(kThird, 3, false);
  CHECK_TRUE(mNode.mRole == Consensus::Role::PreCandidate);
}

// Guards against terms that grow without bound while a candidate reaches no majority.
TEST(Voting, RetryWithoutAWonPreVoteRaisesNoTerm)
{
  StartVote(milliseconds(1));
  const Base::TimePoint end = mNow + std::chrono::seconds(60);
  for (; mNow < end; mNow += milliseconds(25)) {
    Consensus::Tick(mNode, Context());
  }
  CHECK_TRUE(mNode.mRole == Consensus::Role::PreCandidate);
  LONGS_EQUAL(4, mNode.mHardState.mTerm);
}

// Guards against votes on a slow network that are all ended early by the next one.
TEST(Voting, WaitGrowsWithEachVoteThatIsNotWon)
{
  const milliseconds sync(1);
  Base::Duration interval = mSettings.mVoteRetryInterval;
  for (int vote = 0; vote < 10; ++vote) {
    StartVote(sync);
    CheckWait(interval, (interval + sync * 2) * 2);
    interval = std::min<Base::Duration>(interval * 2, mSettings.mElectionTimeout);
  }
  Vote(kOther, mNode.mHardState.mTerm + 1, 2, 2);
  CheckWait(mSettings.mElectionTimeout, mSettings.mElectionTimeout * 2);
}

// Guards against leaders that are deposed one after another by short waits before they commit an
// entry, and against long waits in later elections.
TEST(Voting, CommitEndsTheGrowthOfTheWait)
{
  StartVote(milliseconds(0));
  StartVote(milliseconds(0));
  ReceiveVote(kOther, 5, false);
  CHECK_TRUE(mNode.mRole == Consensus::Role::Leader);
  CHECK_TRUE(mNode.mTermsWithoutCommit == 2);
  Consensus::EntriesSynced(mNode, Context(), 3, 5);
  Consensus::Message message = From(kOther, 5);
  message.mutable_append_reply()->set_matched(true);
  message.mutable_append_reply()->set_synced_index(3);
  Consensus::Receive(mNode, Context(), message);
  LONGS_EQUAL(3, mNode.mCommitIndex);
  CHECK_TRUE(mNode.mTermsWithoutCommit == 0);
}

// Guards against a wait that ends during the sync of the vote, or before a voter with an equally
// slow disk has synced the term and the vote.
TEST(Voting, WaitAllowsForTheSync)
{
  const milliseconds sync(150);
  const Base::Duration min = mSettings.mVoteRetryInterval + sync * 2;
  StartVote(sync);
  CheckWait(min, min * 2);
  CHECK_TRUE(IsGranted(Vote(kOther, 5, 2, 2)));
  mNow += sync;
  Consensus::Tick(mNode, Context());
  CheckWait(min, min * 2);
}

// Guards against a transfer of the leadership that the other voters, which are still in contact
// with the old leader, refuse.
TEST(Voting, TransferStartsTheVoteWithoutAPreVote)
{
  Consensus::Message message = From(kOther, 3);
  message.mutable_hand_over();
  const Consensus::Output output = Consensus::Receive(mNode, Context(), message);
  LONGS_EQUAL(4, mNode.mHardState.mTerm);
  LONGS_EQUAL(2, output.mMessages.size());
  CHECK_FALSE(output.mMessages[0].vote_request().pre_vote());
  CHECK_TRUE(output.mMessages[0].vote_request().handed_over());
}

// Guards against an election timeout without a leader after a candidate of a newer term was refused
// because its log is behind, against ending the vote of the candidate that is granted next, and
// against short waits of a replica that is never a candidate itself.
TEST(Voting, WaitStartsWithANewerTermAndWithAGrantedVote)
{
  const Base::Duration interval = mSettings.mVoteRetryInterval;
  CHECK_FALSE(IsGranted(Vote(kOther, 5, 1, 1)));
  Consensus::Tick(mNode, Context());
  CheckWait(interval, interval * 2);
  mNow = mNode.mElectionDeadline - milliseconds(1);
  CHECK_TRUE(IsGranted(Vote(kThird, 5, 2, 2)));
  Consensus::Tick(mNode, Context());
  CheckWait(interval, interval * 2);
  CHECK_FALSE(IsGranted(Vote(kOther, 6, 1, 1)));
  Consensus::Tick(mNode, Context());
  CheckWait(interval * 2, interval * 4);
}

// Guards against votes that are split again and again on slow disks, because the replicas that
// granted a pre-vote ask for votes themselves while the candidate syncs its vote.
TEST(Voting, GrantedPreVotePostponesTheOwnOneByTheSyncOfAVote)
{
  const milliseconds sync(150);
  StartVote(sync);
  mNow = mNode.mElectionDeadline;
  Consensus::Tick(mNode, Context());
  Consensus::Message message = From(kOther, 4);
  message.mutable_vote_request()->set_pre_vote(true);
  message.mutable_vote_request()->set_proposed_term(5);
  message.mutable_vote_request()->set_last_index(2);
  message.mutable_vote_request()->set_last_term(2);
  CHECK_TRUE(IsGranted(Consensus::Receive(mNode, Context(), message)));
  CheckWait(mSettings.mPreVoteInterval + sync, mSettings.mPreVoteInterval * 2 + sync);
}

#include "../storage/fakedisk.h"
#include "replication/replica.h"

#include <CppUTest/TestHarness.h>

namespace {

constexpr uint64_t kLeader = 200;
constexpr uint64_t kOtherLeader = 300;

Consensus::Entry
MakeEntry(Consensus::Term aTerm, Consensus::LogIndex aIndex)
{
  Consensus::Entry entry;
  entry.set_term(aTerm);
  entry.set_index(aIndex);
  entry.set_kind(lw::consensus::COMMAND);
  entry.set_command("change");
  return entry;
}

Consensus::Entry
MakeMembership(Consensus::Term aTerm, Consensus::LogIndex aIndex, uint32_t aVoters)
{
  Consensus::Entry entry = MakeEntry(aTerm, aIndex);
  entry.set_kind(lw::consensus::MEMBERSHIP);
  for (uint32_t instance = 1; instance <= aVoters; ++instance) {
    lw::consensus::Replica* replica = entry.mutable_membership()->add_replicas();
    replica->set_instance(instance);
    replica->set_storage(instance * uint64_t{ 100 });
    replica->set_voter(true);
  }
  return entry;
}

} // namespace

/// A follower on a fake disk. The messages that it sends are recorded in mSent.
TEST_GROUP(Following)
{
  FakeDisk mDisk{ 9 };
  Consensus::Settings mSettings;
  Base::TimePoint mNow;
  Replication::Replica mReplica;
  std::vector<Consensus::Message> mSent;

  void setup() override
  {
    mSettings.mSelf = Base::InstanceId(1);
    for (uint32_t instance = 1; instance <= 3; ++instance) {
      mSettings.mInstances.emplace_back(instance);
    }
    Open();
  }

  void Open()
  {
    Replication::ReplicaPorts ports;
    ports.mSend = [this](const Consensus::Message& aMessage) { mSent.push_back(aMessage); };
    ports.mApply = [](const Consensus::Entry&) {};
    ports.mLoadState = [](const std::string&) { return absl::OkStatus(); };
    ports.mSaveState = [] { return std::string("state"); };
    ports.mFinishRead = [](uint64_t, bool) {};
    ports.mReportFailure = [](const absl::Status&) {};
    std::vector<std::string> notices;
    auto replica = Replication::OpenReplica(
      mSettings, mDisk.Port(), "/data", ports, Base::RandomSource{ 4 }, mNow, notices);
    CHECK_TRUE(replica.ok());
    mReplica = *std::move(replica);
  }

  void CrashAndOpen()
  {
    mDisk.Crash();
    Open();
  }

  Consensus::Message From(uint64_t aStorage, Consensus::Term aTerm)
  {
    Consensus::Message message;
    message.set_from(static_cast<uint32_t>(aStorage / 100));
    message.set_from_storage(aStorage);
    message.set_to(1);
    message.set_to_storage(mReplica.mNode.mHardState.mStorage.mValue);
    message.set_term(aTerm);
    return message;
  }

  Consensus::Message Append(Consensus::Term aTerm,
                            Consensus::LogIndex aPrevious,
                            Consensus::Term aPreviousTerm,
                            const std::vector<Consensus::Entry>& aEntries)
  {
    Consensus::Message message = From(kLeader, aTerm);
    message.mutable_append()->set_previous_index(aPrevious);
    message.mutable_append()->set_previous_term(aPreviousTerm);
    for (const Consensus::Entry& entry : aEntries) {
      *message.mutable_append()->add_entries() = entry;
    }
    return message;
  }

  Consensus::Output Step(const Consensus::Message& aMessage)
  {
    return Consensus::Receive(mReplica.mNode, Replication::MakeContext(mReplica, mNow), aMessage);
  }

  /// Handles the message and carries out the resulting writes.
  /// \return the last message that was sent.
  Consensus::Message Deliver(const Consensus::Message& aMessage)
  {
    Replication::Perform(mReplica, mNow, Step(aMessage));
    return mSent.back();
  }

  Consensus::Message VoteRequest(uint64_t aCandidate, Consensus::Term aTerm)
  {
    Consensus::Message message = From(aCandidate, aTerm);
    message.mutable_vote_request()->set_proposed_term(aTerm);
    message.mutable_vote_request()->set_last_index(100);
    message.mutable_vote_request()->set_last_term(100);
    return message;
  }
};

// Guards against entries that are confirmed to the leader before they are synced.
TEST(Following, ConfirmsOnlySyncedEntries)
{
  Step(Append(1, 0, 0, { MakeMembership(1, 1, 3), MakeEntry(1, 2) }));
  const Consensus::Output output = Step(Append(1, 2, 1, {}));
  LONGS_EQUAL(1, output.mMessages.size());
  LONGS_EQUAL(0, output.mMessages[0].append_reply().synced_index());
  const Consensus::Output synced =
    Consensus::EntriesSynced(mReplica.mNode, Replication::MakeContext(mReplica, mNow), 2, 1);
  LONGS_EQUAL(2, synced.mMessages.at(0).append_reply().synced_index());
}

// Guards against confirming entries of an earlier leader that the current leader has not matched.
TEST(Following, ConfirmsNothingThatTheLeaderOfTheTermHasNotMatched)
{
  Deliver(Append(1, 0, 0, { MakeMembership(1, 1, 3), MakeEntry(1, 2), MakeEntry(1, 3) }));
  const Consensus::Message reply = Deliver(Append(2, 1, 1, {}));
  CHECK_TRUE(reply.append_reply().matched());
  LONGS_EQUAL(1, reply.append_reply().synced_index());
}

// Guards against a second vote in the same term after a crash.
TEST(Following, VoteSurvivesACrash)
{
  CHECK_TRUE(Deliver(VoteRequest(kLeader, 5)).vote_reply().granted());
  CrashAndOpen();
  CHECK_FALSE(Deliver(VoteRequest(kOtherLeader, 5)).vote_reply().granted());
  CHECK_TRUE(Deliver(VoteRequest(kLeader, 5)).vote_reply().granted());
}

// Guards against a follower that accepts entries from the leader of an earlier term after a crash.
TEST(Following, TermSurvivesACrash)
{
  Deliver(Append(5, 0, 0, {}));
  CrashAndOpen();
  CHECK_FALSE(Deliver(Append(4, 0, 0, {})).append_reply().matched());
}

// Guards against counting a quorum with a membership whose uncommitted entry was replaced.
TEST(Following, ReplacedMembershipIsNoLongerInForce)
{
  Deliver(Append(1, 0, 0, { MakeMembership(1, 1, 3), MakeMembership(1, 2, 2) }));
  LONGS_EQUAL(2, Consensus::CurrentMembership(mReplica.mNode).replicas_size());
  Deliver(Append(2, 1, 1, { MakeEntry(2, 2) }));
  LONGS_EQUAL(3, Consensus::CurrentMembership(mReplica.mNode).replicas_size());
  CrashAndOpen();
  LONGS_EQUAL(3, Consensus::CurrentMembership(mReplica.mNode).replicas_size());
}

// Guards against a late snapshot that removes confirmed entries from the disk.
TEST(Following, LateSnapshotKeepsTheEntriesAfterIt)
{
  Deliver(Append(1, 0, 0, { MakeMembership(1, 1, 3), MakeEntry(1, 2), MakeEntry(1, 3) }));
  Consensus::Message message = From(kLeader, 1);
  lw::consensus::SnapshotPiece* piece = message.mutable_snapshot_piece();
  piece->mutable_header()->set_index(2);
  piece->mutable_header()->set_term(1);
  *piece->mutable_header()->mutable_membership() = MakeMembership(1, 1, 3).membership();
  piece->set_total(5);
  piece->set_data("state");
  CHECK_TRUE(Deliver(message).append_reply().synced_index() >= 2);
  LONGS_EQUAL(3, Consensus::LastIndex(mReplica.mNode.mLog));
  CrashAndOpen();
  LONGS_EQUAL(2, mReplica.mNode.mSnapshot.index());
  LONGS_EQUAL(3, Consensus::LastIndex(mReplica.mNode.mLog));
}

// Guards against a removed replica that raises the term or receives a vote.
TEST(Following, IgnoresARetiredReplica)
{
  Consensus::Entry entry = MakeMembership(1, 1, 2);
  entry.mutable_membership()->add_retired_storages(kOtherLeader);
  Deliver(Append(1, 0, 0, { entry }));
  mNow += mSettings.mElectionTimeout * 2;
  CHECK_TRUE(Step(VoteRequest(kOtherLeader, 9)).mMessages.empty());
  Consensus::Message heartbeat = From(kOtherLeader, 9);
  heartbeat.mutable_append();
  CHECK_TRUE(Step(heartbeat).mMessages.empty());
  LONGS_EQUAL(1, mReplica.mNode.mHardState.mTerm);
}

// Guards against a lost reply: the leader sends the entry again, and the follower must confirm it
// again without writing it twice.
TEST(Following, RepeatedEntryIsConfirmedAndNotWrittenAgain)
{
  const Consensus::Message append = Append(1, 0, 0, { MakeMembership(1, 1, 3) });
  Deliver(append);
  const uint64_t syncs = mDisk.mSyncs;
  LONGS_EQUAL(1, Deliver(append).append_reply().synced_index());
  LONGS_EQUAL(syncs, mDisk.mSyncs);
}

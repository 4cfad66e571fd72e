#include "base/random.h"
#include "controlcluster.h"

#include <csignal>
#include <future>
#include <set>

// Included after <future>, which does not compile with CppUTest's macro for new.
#include <CppUTest/TestHarness.h>

namespace {

constexpr int kReportWindowSeconds = 3600;
constexpr uint64_t kSeed = 7;
constexpr uint64_t kChanges = 300;
/// Average number of changes per fault.
constexpr uint64_t kChangesPerFault = 25;

lw::config::Change
MakeChange(uint64_t aNumber)
{
  lw::config::Change change;
  change.set_base_version(aNumber - 1);
  change.set_operator_id("tester");
  change.set_request_number(aNumber);
  lw::config::Service* service = change.mutable_put_service();
  service->set_name("service-" + std::to_string(aNumber));
  service->set_address("192.0.2." + std::to_string(1 + aNumber / 1000) + ":" +
                       std::to_string(aNumber));
  service->set_kind(lw::config::OPAQUE);
  return change;
}

} // namespace

TEST_GROUP(Cluster)
{
  ControlCluster mCluster{ 3, kReportWindowSeconds };

  /// Applies the change with this number. Each number is used once and each change is based on the
  /// previous one, so it must be accepted in the version of the same number.
  void MustAccept(uint64_t aNumber)
  {
    uint64_t version = 0;
    const grpc::Status status = mCluster.ApplyUntilKnown(MakeChange(aNumber), version);
    CHECK_TRUE_TEXT(status.ok(), status.error_message().c_str());
    LONGS_EQUAL(aNumber, version);
  }

  void CheckAllPresent(uint64_t aChanges)
  {
    std::set<std::string> names;
    const lw::config::State state = mCluster.ReadFromLeader();
    for (const lw::config::Service& service : state.services()) {
      names.insert(service.name());
    }
    LONGS_EQUAL(aChanges, state.version());
    for (uint64_t number = 1; number <= aChanges; ++number) {
      CHECK_TRUE(names.count("service-" + std::to_string(number)) == 1);
    }
  }

  bool AreAllVotersSynced()
  {
    const uint32_t leader = mCluster.Leader();
    if (leader == 0) {
      return false;
    }
    const lw::operator_api::ControlStatus status = mCluster.Status(leader).control();
    int synced = 0;
    for (const lw::operator_api::ControlMember& member : status.members()) {
      const bool own = member.instance() == leader;
      synced += member.voter() && (own || member.synced_index() == status.last_index()) ? 1 : 0;
    }
    return synced == 3 && status.members_size() == 3;
  }
};

// Guards against an acknowledged change that is lost, applied twice or assigned another version
// when the leader is killed during a change and restarted later.
TEST(Cluster, KeepsEveryAcknowledgedChangeWhenLeadersAreKilled)
{
  Base::RandomSource random{ kSeed };
  CHECK_TRUE(mCluster.WaitForLeader() != 0);
  uint32_t killed = 0;
  uint64_t restartAt = 0;
  int kills = 0;
  for (uint64_t number = 1; number <= kChanges; ++number) {
    const bool fault = killed == 0 && Base::NextBelow(random, kChangesPerFault) == 0;
    const uint32_t leader = fault ? mCluster.WaitForLeader() : 0;
    if (fault) {
      uint64_t version = 0;
      auto lost = std::async(std::launch::async,
                             [&] { return mCluster.Apply(leader, MakeChange(number), version); });
      const auto delay = std::chrono::microseconds(Base::NextBelow(random, 8000));
      lost.wait_for(delay);
      mCluster.Signal(leader, SIGKILL);
      const grpc::Status first = lost.get();
      CHECK_TRUE(!first.ok() || version == number);
      killed = leader;
      restartAt = number + Base::NextBelow(random, kChangesPerFault);
      ++kills;
    }
    MustAccept(number);
    if (killed != 0 && number >= restartAt) {
      mCluster.Start(killed);
      killed = 0;
    }
  }
  if (killed != 0) {
    mCluster.Start(killed);
  }
  CHECK_TRUE(kills >= 5);
  CheckAllPresent(kChanges);
  CHECK_TRUE(
    ControlCluster::WaitUntil([&] { return AreAllVotersSynced(); }, std::chrono::seconds(30)));
  for (uint32_t instance = 1; instance <= 3; ++instance) {
    mCluster.Signal(instance, SIGTERM);
  }
  for (uint32_t instance = 1; instance <= 3; ++instance) {
    LONGS_EQUAL(0, mCluster.WaitForExit(instance));
    LONGS_EQUAL(0, mCluster.Inspect(instance));
    mCluster.Start(instance);
  }
  CheckAllPresent(kChanges);
  MustAccept(kChanges); // A resend after a restart of all instances returns the first outcome.
  MustAccept(1);
}

// Guards against a leader that was suspended with SIGSTOP and, after it continues, answers a read
// with stale data or raises the term.
TEST(Cluster, SuspendedLeaderIsReplacedAndFollowsWhenResumed)
{
  const uint32_t suspended = mCluster.WaitForLeader();
  CHECK_TRUE(suspended != 0);
  MustAccept(1);
  mCluster.Signal(suspended, SIGSTOP);
  for (uint64_t number = 2; number <= 20; ++number) {
    MustAccept(number);
  }
  const uint32_t leader = mCluster.WaitForLeader();
  const uint64_t term = mCluster.Status(leader).control().term();
  mCluster.Signal(suspended, SIGCONT);
  lw::config::State state;
  const grpc::Status read = mCluster.Read(suspended, state);
  CHECK_TRUE(!read.ok() || state.version() == 20);
  CHECK_TRUE(
    ControlCluster::WaitUntil([&] { return AreAllVotersSynced(); }, std::chrono::seconds(30)));
  LONGS_EQUAL(term, mCluster.Status(suspended).control().term());
  LONGS_EQUAL(leader, mCluster.Leader());
  CheckAllPresent(20);
}

// Guards against an instance with a new disk that does not rejoin, and against losing changes when
// a second disk is lost right after the first was replaced.
TEST(Cluster, ReplacesTwoDisksOneAfterTheOther)
{
  CHECK_TRUE(mCluster.WaitForLeader() != 0);
  uint64_t number = 0;
  for (uint32_t lost = 1; lost <= 2; ++lost) {
    while (number < lost * uint64_t{ 120 }) {
      MustAccept(++number);
    }
    mCluster.Signal(lost, SIGKILL);
    mCluster.Wipe(lost);
    MustAccept(++number);
    const uint64_t storage = mCluster.Status(3).control().members(0).storage();
    mCluster.Start(lost);
    CHECK_TRUE(ControlCluster::WaitUntil(
      [&] {
        const auto members = mCluster.Status(3).control().members();
        return AreAllVotersSynced() &&
               (lost != 1 || members[2].storage() != storage || members[0].storage() != storage);
      },
      std::chrono::seconds(30)));
  }
  CheckAllPresent(number);
}

// Guards against a planned stop of the leader that loses a change or leaves the cluster without a
// leader for an election timeout.
TEST(Cluster, StoppingLeaderTransfersItsLeadership)
{
  const uint32_t leader = mCluster.WaitForLeader();
  MustAccept(1);
  CHECK_TRUE(
    ControlCluster::WaitUntil([&] { return AreAllVotersSynced(); }, std::chrono::seconds(30)));
  const uint64_t term = mCluster.Status(leader).control().term();
  mCluster.Signal(leader, SIGTERM);
  LONGS_EQUAL(0, mCluster.WaitForExit(leader));
  // The process exits only after another instance has become the leader.
  const uint32_t next = mCluster.Leader();
  CHECK_TRUE(next != 0);
  LONGS_EQUAL(term + 1, mCluster.Status(next).control().term());
  MustAccept(2);
}

// Guards against a change that is applied again or rejected as a conflict with itself when its
// reply is lost twice, each time together with the leader that sent it.
TEST(Cluster, ChangeWhoseAnswerIsLostTwiceIsAppliedOnce)
{
  CHECK_TRUE(mCluster.WaitForLeader() != 0);
  MustAccept(1);
  for (int lost = 0; lost < 2; ++lost) {
    MustAccept(2); // This reply is treated as lost.
    const uint32_t leader = mCluster.WaitForLeader();
    mCluster.Signal(leader, SIGKILL);
    CHECK_TRUE(mCluster.WaitForLeader() != 0);
    mCluster.Start(leader);
    CHECK_TRUE(
      ControlCluster::WaitUntil([&] { return AreAllVotersSynced(); }, std::chrono::seconds(30)));
  }
  MustAccept(2);
  MustAccept(3);
  CheckAllPresent(3);
}

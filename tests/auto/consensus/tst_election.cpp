#include "fakeelection.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr uint64_t kSeeds = 300;
constexpr milliseconds kElectionTimeout(1000);
/// Bound of runs that check another property than the time.
constexpr seconds kEndOfRun(60);

/// Times in ms since a majority runs, over all seeds.
struct Figures
{
  size_t mSplitFirstVotes = 0;
  size_t mLateLeaders = 0;
  std::vector<double> mUntilLeader;
  std::vector<double> mUntilCommit;
};

ElectionModel
MakeModel(uint32_t aReplicas, milliseconds aStartSpread, bool aSlowDisks)
{
  ElectionModel model;
  model.mReplicas = aReplicas;
  model.mStartSpread = aStartSpread;
  if (aSlowDisks) {
    model.mMinSync = milliseconds(150);
    model.mMaxSync = milliseconds(150);
  }
  return model;
}

double
SinceMajorityMs(const FakeElection& aElection)
{
  return std::chrono::duration<double, std::milli>(aElection.SinceMajority()).count();
}

Figures
RunRestarts(const ElectionModel& aModel)
{
  Figures figures;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    FakeElection election(seed, aModel);
    CHECK_TRUE(election.RunUntilLeader(kEndOfRun));
    const Consensus::Term term = election.Node(election.Leader()).mHardState.mTerm;
    figures.mSplitFirstVotes += term > FakeElection::kStartTerm + 1 ? 1 : 0;
    figures.mLateLeaders += election.SinceMajority() > kElectionTimeout ? 1 : 0;
    figures.mUntilLeader.push_back(SinceMajorityMs(election));
    CHECK_TRUE(election.RunUntilCommitted(kEndOfRun));
    figures.mUntilCommit.push_back(SinceMajorityMs(election));
    CHECK_FALSE(election.mTwoLeaders);
  }
  std::sort(figures.mUntilLeader.begin(), figures.mUntilLeader.end());
  std::sort(figures.mUntilCommit.begin(), figures.mUntilCommit.end());
  return figures;
}

Figures
RunAndPrint(uint32_t aReplicas, milliseconds aStartSpread, bool aSlowDisks)
{
  Figures figures = RunRestarts(MakeModel(aReplicas, aStartSpread, aSlowDisks));
  UT_PRINT(StringFromFormat(
    "%u replicas, %s disks, started within %2d ms: first vote split in %.1f%%, leader after "
    "over 1 s in %.1f%%; ms until a leader: median %.0f, maximum %.0f; until it commits: median "
    "%.0f, maximum %.0f",
    aReplicas,
    aSlowDisks ? "slow" : "fast",
    static_cast<int>(aStartSpread.count()),
    100.0 * static_cast<double>(figures.mSplitFirstVotes) / kSeeds,
    100.0 * static_cast<double>(figures.mLateLeaders) / kSeeds,
    figures.mUntilLeader[kSeeds / 2],
    figures.mUntilLeader.back(),
    figures.mUntilCommit[kSeeds / 2],
    figures.mUntilCommit.back()));
  return figures;
}

} // namespace

TEST_GROUP(Election){};

// Guards against a split vote that delays the leader by an election timeout after all replicas were
// killed and started at once. Some first votes must be split, or the test checks nothing.
TEST(Election, LeadsWithinAnElectionTimeoutOfACommonRestart)
{
  size_t split = 0;
  double latest = 0;
  for (const milliseconds spread : { milliseconds(0), milliseconds(10) }) {
    for (const uint32_t replicas : { 3U, 5U }) {
      const Figures figures = RunAndPrint(replicas, spread, false);
      split += figures.mSplitFirstVotes;
      latest = std::max(latest, figures.mUntilLeader.back());
    }
  }
  CHECK_TRUE(split > 0);
  CHECK_TRUE(latest <= kElectionTimeout.count());
}

// Guards against retries that are faster than a vote and therefore end each vote early, if a sync
// takes longer than the first wait.
TEST(Election, SlowDisksDelayTheLeaderByFewRetries)
{
  // Replicas that start a few ticks apart need no retry in most runs, and so no election timeout. A
  // wait is at most two election timeouts, and few of them are that long.
  constexpr milliseconds kMedianBound = kElectionTimeout;
  constexpr milliseconds kMaxBound = 4 * kElectionTimeout;
  double latest = 0;
  for (const milliseconds spread : { milliseconds(0), milliseconds(10) }) {
    double median = 0;
    for (const uint32_t replicas : { 3U, 5U }) {
      const Figures figures = RunAndPrint(replicas, spread, true);
      median = std::max(median, figures.mUntilCommit[kSeeds / 2]);
      latest = std::max(latest, figures.mUntilCommit.back());
    }
    CHECK_TRUE(spread == milliseconds(0) || median <= kMedianBound.count());
  }
  CHECK_TRUE(latest <= kMaxBound.count());
}

// Guards against waits that do not grow: the own sync is short, so only the growth makes the wait
// longer than a vote over a slow network.
TEST(Election, SlowNetworkElectsALeader)
{
  constexpr seconds kBound(10);
  for (uint64_t seed = 1; seed <= kSeeds / 10; ++seed) {
    ElectionModel model = MakeModel(seed % 2 == 0 ? 3 : 5, milliseconds(10), false);
    model.mMinDelay = milliseconds(150);
    model.mMaxDelay = milliseconds(200);
    FakeElection election(seed, model);
    CHECK_TRUE(election.RunUntilCommitted(kBound));
    CHECK_FALSE(election.mTwoLeaders);
  }
}

// Guards against voters that wait an election timeout for a candidate that died after they had
// granted it their votes.
TEST(Election, OthersRetryWhenACandidateDies)
{
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    FakeElection election(seed, MakeModel(seed % 2 == 0 ? 3 : 5, milliseconds(10), false));
    election.Crash(election.RunUntilVoteIsGranted());
    CHECK_TRUE(election.RunUntilLeader(kElectionTimeout));
    CHECK_TRUE(election.RunUntilCommitted(kElectionTimeout));
    CHECK_FALSE(election.mTwoLeaders);
  }
}

// Guards against a majority that waits for a replica which starts later than the others, and
// against that replica deposing their leader.
TEST(Election, MajorityLeadsBeforeALateReplicaStarts)
{
  constexpr milliseconds kDelay(1500);
  for (uint64_t seed = 1; seed <= kSeeds / 10; ++seed) {
    const uint32_t replicas = seed % 2 == 0 ? 3 : 5;
    FakeElection election(seed, MakeModel(replicas, milliseconds(10), false));
    election.DelayStart(1, kDelay);
    CHECK_TRUE(election.RunUntilCommitted(kElectionTimeout));
    const uint32_t leader = election.Leader();
    const Consensus::Term term = election.Node(leader).mHardState.mTerm;
    while (election.SinceMajority() < kDelay * 2) {
      election.Step();
    }
    LONGS_EQUAL(leader, election.Leader());
    LONGS_EQUAL(term, election.Node(leader).mHardState.mTerm);
    LONGS_EQUAL(leader, election.Node(1).mLeader.mValue);
  }
}

// Guards against a lost vote message that delays the leader by an election timeout.
TEST(Election, LostMessagesDelayTheLeaderByFewRetries)
{
  constexpr uint64_t kLossPermille = 100;
  for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
    ElectionModel model = MakeModel(seed % 2 == 0 ? 3 : 5, milliseconds(10), false);
    model.mLossPermille = kLossPermille;
    FakeElection election(seed, model);
    CHECK_TRUE(election.RunUntilLeader(kElectionTimeout));
    CHECK_FALSE(election.mTwoLeaders);
  }
}

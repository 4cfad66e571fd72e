#include "terms/renewal.h"

#include <CppUTest/TestHarness.h>

using Terms::RenewalOutcome;
using Terms::Standing;
using Terms::WallSeconds;

namespace {

constexpr uint64_t kTerm = 100;
constexpr uint64_t kStart = 1000000;

Terms::ClientPolicy
Policy()
{
  Terms::ClientPolicy policy;
  policy.mClient = "partner";
  policy.mService = "tag";
  policy.mGeneration = 7;
  policy.mStartingShare = Terms::Permille(100);
  policy.mGrowth = Terms::Permille(50);
  policy.mCeiling = Terms::Permille(220);
  policy.mStartingSurge = 5;
  policy.mSurgeGrowth = 5;
  policy.mSurgeCeiling = 12;
  policy.mTermSeconds = kTerm;
  return policy;
}

lw::terms::Record
RecordAt(uint32_t aLevel)
{
  lw::terms::Record record =
    Terms::Renew(std::nullopt, Policy(), Standing::Good, WallSeconds(kStart)).mRecord;
  record.set_level(aLevel);
  return record;
}

struct Row
{
  const char* mCase;
  uint64_t mAge;
  Standing mStanding;
  uint32_t mLevelBefore;
  uint32_t mLevelAfter;
  RenewalOutcome mOutcome;
};

} // namespace

TEST_GROUP(Renewal){};

// Guards against levels that increase too early, do not increase, or decrease other than by the
// documented rule.
TEST(Renewal, FollowsTheRuleOfEachCase)
{
  const Row rows[] = {
    { "same moment", 0, Standing::Good, 2, 2, RenewalOutcome::NotDue },
    { "term not over", kTerm - 1, Standing::Good, 2, 2, RenewalOutcome::NotDue },
    { "term over", kTerm, Standing::Good, 2, 3, RenewalOutcome::Increased },
    { "end of the next term", 2 * kTerm - 1, Standing::Good, 2, 3, RenewalOutcome::Increased },
    { "exceeded its allowance", kTerm, Standing::Exceeded, 2, 2, RenewalOutcome::Unchanged },
    { "one term missed", 2 * kTerm, Standing::Good, 2, 1, RenewalOutcome::Decreased },
    { "many terms missed", 9 * kTerm, Standing::Good, 2, 0, RenewalOutcome::Decreased },
  };
  for (const Row& row : rows) {
    const Terms::Renewal renewal = Terms::Renew(
      RecordAt(row.mLevelBefore), Policy(), row.mStanding, WallSeconds(kStart + row.mAge));
    LONGS_EQUAL_TEXT(row.mLevelAfter, renewal.mRecord.level(), row.mCase);
    CHECK_TRUE_TEXT(row.mOutcome == renewal.mOutcome, row.mCase);
  }
}

// Guards against a renewal that is lost or counted twice when two instances renew concurrently.
TEST(Renewal, GivesTheSameRecordAtTwoInstances)
{
  const lw::terms::Record record = RecordAt(2);
  const Terms::Renewal first =
    Terms::Renew(record, Policy(), Standing::Good, WallSeconds(kStart + kTerm));
  const Terms::Renewal second =
    Terms::Renew(record, Policy(), Standing::Good, WallSeconds(kStart + kTerm + 37));
  STRCMP_EQUAL(first.mRecord.DebugString().c_str(), second.mRecord.DebugString().c_str());
  const Terms::Renewal again =
    Terms::Renew(first.mRecord, Policy(), Standing::Good, WallSeconds(kStart + kTerm + 38));
  CHECK_TRUE(again.mOutcome == RenewalOutcome::NotDue);
}

// Guards against an older record that is renewed to a higher level than the newest one.
TEST(Renewal, ReplayOfAnOlderRecordYieldsLess)
{
  lw::terms::Record record = RecordAt(0);
  lw::terms::Record older = record;
  for (uint64_t term = 1; term <= 5; ++term) {
    older = record;
    const WallSeconds now(kStart + term * kTerm);
    record = Terms::Renew(record, Policy(), Standing::Good, now).mRecord;
    const uint32_t replayed = Terms::Renew(older, Policy(), Standing::Good, now).mRecord.level();
    CHECK_TRUE(replayed <= record.level());
  }
  LONGS_EQUAL(5, record.level());
}

// Guards against accepting records of another client or generation, or from before a revocation.
TEST(Renewal, StartsAnewWithoutAValidRecord)
{
  const lw::terms::Record valid = RecordAt(4);
  lw::terms::Record otherClient = valid;
  otherClient.set_client("other");
  lw::terms::Record otherGeneration = valid;
  otherGeneration.set_generation(8);
  Terms::ClientPolicy revoked = Policy();
  revoked.mLowestValidRenewals = 1;
  const WallSeconds now(kStart + kTerm);
  for (const lw::terms::Record& record : { otherClient, otherGeneration }) {
    LONGS_EQUAL(0, Terms::Renew(record, Policy(), Standing::Good, now).mRecord.level());
    LONGS_EQUAL(100, Terms::EntitlementOf(record, Policy()).mShare.mValue);
  }
  const Terms::Renewal restarted = Terms::Renew(valid, revoked, Standing::Good, now);
  LONGS_EQUAL(0, restarted.mRecord.level());
  CHECK_TRUE(Terms::EntitlementOf(restarted.mRecord, revoked).mShare.mValue == 100);
  LONGS_EQUAL(1, restarted.mRecord.renewals());
}

// Guards against entitlements above the ceiling, and against a ceiling that reduces the starting
// terms.
TEST(Renewal, StopsAtTheCeiling)
{
  LONGS_EQUAL(150, Terms::EntitlementOf(RecordAt(1), Policy()).mShare.mValue);
  LONGS_EQUAL(220, Terms::EntitlementOf(RecordAt(4000000000U), Policy()).mShare.mValue);
  LONGS_EQUAL(12, Terms::EntitlementOf(RecordAt(9), Policy()).mSurgeAllowance);
  Terms::ClientPolicy low = Policy();
  low.mCeiling = Terms::Permille(50);
  LONGS_EQUAL(100, Terms::EntitlementOf(RecordAt(9), low).mShare.mValue);
}

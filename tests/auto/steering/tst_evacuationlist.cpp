#include "evacuationsfixture.h"

#include <CppUTest/TestHarness.h>

#include <chrono>

using std::chrono::seconds;

TEST_GROUP(EvacuationList), EvacuationsFixture{};

// Guards against an instance that goes back to an older list, which a control instance that lags or
// has restarted reports.
TEST(EvacuationList, OlderAndEqualRevisionsAreIgnored)
{
  Evacuate(5, { "a" });
  Evacuate(4, {});
  Evacuate(5, { "b" });
  LONGS_EQUAL(5, mState.mEvacuations.mRevision);
  CHECK_TRUE(Steering::IsEvacuated(mState.mEvacuations, "a"));
  CHECK_FALSE(Steering::IsEvacuated(mState.mEvacuations, "b"));
  Evacuate(6, { "b" });
  CHECK_FALSE(Steering::IsEvacuated(mState.mEvacuations, "a"));
  CHECK_TRUE(Steering::IsEvacuated(mState.mEvacuations, "b"));
}

// Guards against a poll reply without evacuations that is read as the end of all of them.
TEST(EvacuationList, ReplyWithoutEvacuationsKeepsThem)
{
  Evacuate(1, { "a" });
  Declare(1);
  CHECK_TRUE(Steering::IsEvacuated(mState.mEvacuations, "a"));
}

// Guards against a readmitted zone whose cold upstreams get all new flows at once, and against one
// that never gets all of them again.
TEST(EvacuationList, ReadmittedZoneStartsSlowly)
{
  constexpr int kFlows = 2000;
  constexpr double kTolerance = 0.04;
  mSlots = kManySlots;
  Declare(1);
  AddLiveUpstream(1, "a");
  AddLiveUpstream(2, "b");
  Evacuate(1, { "a" });
  PassTime(seconds(1));
  Evacuate(2, {});
  DOUBLES_EQUAL(0.25, ShareOf(1, kFlows), kTolerance);
  PassTime(seconds(4));
  DOUBLES_EQUAL(0.55, ShareOf(1, kFlows), kTolerance);
  PassTime(seconds(4));
  DOUBLES_EQUAL(0.85, ShareOf(1, kFlows), kTolerance);
  PassTime(seconds(2));
  DOUBLES_EQUAL(1, ShareOf(1, kFlows), 0);
  Steering::Expire(mState, mNow);
  CHECK_TRUE(mState.mEvacuations.mReadmittedAt.empty());
}

// Guards against a remote zone that is readmitted without a slow start.
TEST(EvacuationList, ReadmittedRemoteZoneStartsSlowly)
{
  mSlots = kManySlots;
  Declare(1);
  AddLiveUpstream(2, "b");
  AddLiveUpstream(3, "c");
  Evacuate(1, { "b" });
  Evacuate(2, {});
  // Without a slow start, half of the flows would go there.
  CHECK_TRUE(ShareOf(2, 2000) < 0.25);
}

// Guards against a zone that stays evacuated, or keeps its slow start, if the list changes again.
TEST(EvacuationList, ZoneUnderSlowStartCanBeEvacuatedAgain)
{
  mSlots = kManySlots;
  Declare(1);
  AddLiveUpstream(1, "a");
  AddLiveUpstream(2, "b");
  Evacuate(1, { "a" });
  Evacuate(2, {});
  Evacuate(3, { "a" });
  CHECK_TRUE(mState.mEvacuations.mReadmittedAt.empty());
  DOUBLES_EQUAL(0, ShareOf(1, 200), 0);
  // The slow start must not begin again because of another zone.
  Evacuate(4, {});
  PassTime(seconds(5));
  Evacuate(5, { "c" });
  DOUBLES_EQUAL(0.625, Steering::ShareOfNewFlows(mState.mEvacuations, "a", mNow), 0.001);
}

// Guards against flows that are refused or held during a slow start, although the zone under slow
// start is the only one that can serve them.
TEST(EvacuationList, ZoneUnderSlowStartIsUsedIfNothingElseIsLeft)
{
  mSlots = kManySlots;
  Declare(1);
  AddLiveUpstream(1, "a");
  Evacuate(1, { "a" });
  Evacuate(2, {});
  DOUBLES_EQUAL(1, ShareOf(1, 200), 0);
  // Unresponsive upstreams of another zone are no alternative.
  AddLiveUpstream(2, "b");
  Suspend(2);
  DOUBLES_EQUAL(1, ShareOf(1, 200), 0);
}

// Guards against flows that are held while other zones have no room and the zone under slow start
// has.
TEST(EvacuationList, ZoneUnderSlowStartIsUsedIfOthersAreFull)
{
  constexpr uint32_t kFlows = 1000;
  mSlots = 1;
  Declare(1);
  AddLiveUpstream(2, "b");
  mSlots = kManySlots;
  AddLiveUpstream(1, "a");
  Evacuate(1, { "a" });
  Evacuate(2, {});
  LONGS_EQUAL(kFlows, OpenUntilFull(kFlows));
}

// Guards against random numbers drawn without a slow start, which would change the choices of
// deployments that never evacuate.
TEST(EvacuationList, ChoicesWithoutSlowStartUseNoFurtherRandomNumbers)
{
  Base::RandomSource random{ 1 };
  CHECK_TRUE(Steering::SelectZonesToAvoid(mState.mEvacuations, random, mNow).empty());
  Evacuate(1, { "a" });
  CHECK_TRUE(Steering::SelectZonesToAvoid(mState.mEvacuations, random, mNow).empty());
  LONGS_EQUAL(1, random.mState);
}

#include "admission/scheduler.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;

namespace {

const Base::TimePoint kStart(100s);

Admission::Policy
OneKind()
{
  Admission::Policy policy;
  policy.mKinds = { { "lookup", 1000, 1 } };
  policy.mClients = { { "clerk", 500, 0 } };
  return policy;
}

Admission::WorkItem
Item(uint64_t aId, Base::TimePoint aDeadline)
{
  return { aId, "lookup", "clerk", aDeadline };
}

} // namespace

TEST_GROUP(Scheduler)
{
  Admission::Scheduler mScheduler;
  Admission::Policy mPolicy = OneKind();

  void setup() override
  {
    Admission::Report(mScheduler, 2, 1, kStart - 20s);
  }

  Admission::Effects OfferItem(uint64_t aId, Base::TimePoint aDeadline, Base::TimePoint aNow)
  {
    return Admission::Offer(mScheduler, mPolicy, Item(aId, aDeadline), aNow);
  }

  Admission::Effects FinishItem(uint64_t aId, Base::TimePoint aNow)
  {
    return Admission::Finish(mScheduler, mPolicy, aId, Admission::WorkOutcome::Answered, aNow);
  }
};

// Guards against sending an upstream more work than it has slots.
TEST(Scheduler, DispatchesUpToTheLimit)
{
  LONGS_EQUAL(1, OfferItem(1, kStart + 1s, kStart).mDispatch.size());
  LONGS_EQUAL(1, OfferItem(2, kStart + 1s, kStart).mDispatch.size());
  LONGS_EQUAL(0, OfferItem(3, kStart + 1s, kStart).mDispatch.size());
  const Admission::Effects effects = FinishItem(1, kStart + 50ms);
  LONGS_EQUAL(1, effects.mDispatch.size());
  LONGS_EQUAL(3, effects.mDispatch[0].mId);
  LONGS_EQUAL(2, mScheduler.mRunning.size());
}

// Guards against queueing work that cannot finish in time, and against an unlimited queue.
TEST(Scheduler, RefusesWhatCannotFinishBeforeTheDeadline)
{
  size_t refused = 0;
  for (uint64_t id = 1; id <= 100; ++id) {
    refused += OfferItem(id, kStart + 500ms, kStart).mRefuse.size();
  }
  // 2 slots with a service time of 50 ms process about 20 items in 500 ms.
  CHECK_TRUE(refused >= 75);
  CHECK_TRUE(refused <= 85);
  for (uint64_t id = 1000; id < 10000; ++id) {
    OfferItem(id, kStart + 1h, kStart);
  }
  CHECK_TRUE(mScheduler.mKinds["lookup"].mQueued <= Admission::kMaxQueuedForClient);
}

// Guards against wasting slots on work whose deadline has passed or can no longer be met.
TEST(Scheduler, NeverDispatchesLateWork)
{
  OfferItem(1, kStart + 10s, kStart);
  OfferItem(2, kStart + 10s, kStart);
  OfferItem(3, kStart + 200ms, kStart);
  OfferItem(4, kStart + 10s, kStart);
  const Admission::Effects effects = FinishItem(1, kStart + 190ms);
  LONGS_EQUAL(1, effects.mRefuse.size());
  CHECK_TRUE(effects.mRefuse[0].mReason == Admission::RefusalReason::DeadlineTooShort);
  LONGS_EQUAL(4, effects.mDispatch[0].mId);
  LONGS_EQUAL(0, OfferItem(5, kStart + 600ms, kStart + 200ms).mRefuse.size());
  const Admission::Effects late = Admission::Tick(mScheduler, mPolicy, kStart + 650ms);
  LONGS_EQUAL(1, late.mRefuse.size());
  CHECK_TRUE(late.mRefuse[0].mReason == Admission::RefusalReason::DeadlinePassed);
}

// Guards against running an item after its withdrawal was confirmed.
TEST(Scheduler, WithdrawsOnlyQueuedWork)
{
  OfferItem(1, kStart + 10s, kStart);
  OfferItem(2, kStart + 10s, kStart);
  OfferItem(3, kStart + 10s, kStart);
  CHECK_FALSE(Admission::Withdraw(mScheduler, 1));
  CHECK_TRUE(Admission::Withdraw(mScheduler, 3));
  CHECK_FALSE(Admission::Withdraw(mScheduler, 3));
  LONGS_EQUAL(0, FinishItem(1, kStart + 50ms).mDispatch.size());
}

// Guards against a late second answer freeing a slot twice.
TEST(Scheduler, IgnoresASecondEndOfTheSameWork)
{
  OfferItem(1, kStart + 10s, kStart);
  OfferItem(2, kStart + 10s, kStart);
  OfferItem(3, kStart + 10s, kStart);
  OfferItem(4, kStart + 10s, kStart);
  LONGS_EQUAL(1, FinishItem(1, kStart + 50ms).mDispatch.size());
  LONGS_EQUAL(0, FinishItem(1, kStart + 51ms).mDispatch.size());
}

// Guards against work waiting for a hung upstream until its deadline, and against not using the
// upstream again after it has recovered.
TEST(Scheduler, RefusesWorkOfAHungUpstreamAndRecovers)
{
  for (uint64_t id = 1; id <= 20; ++id) {
    OfferItem(id, kStart + 60s, kStart + id * 60ms);
    FinishItem(id, kStart + id * 60ms + 50ms);
  }
  const Base::TimePoint hang = kStart + 2s;
  OfferItem(21, hang + 60s, hang);
  OfferItem(22, hang + 60s, hang);
  OfferItem(23, hang + 60s, hang);
  CHECK_FALSE(Admission::IsHung(mScheduler));
  const Admission::Effects effects = Admission::Tick(mScheduler, mPolicy, hang + 700ms);
  CHECK_TRUE(Admission::IsHung(mScheduler));
  LONGS_EQUAL(1, effects.mRefuse.size());
  CHECK_TRUE(effects.mRefuse[0].mReason == Admission::RefusalReason::UpstreamHung);
  LONGS_EQUAL(1, OfferItem(24, hang + 60s, hang + 800ms).mRefuse.size());
  LONGS_EQUAL(1, OfferItem(25, hang + 60s, hang + 1800ms).mDispatch.size());
  LONGS_EQUAL(1, OfferItem(26, hang + 60s, hang + 1850ms).mRefuse.size());
  FinishItem(25, hang + 1900ms);
  CHECK_FALSE(Admission::IsHung(mScheduler));
}

// Guards against memory growth through unknown names in requests or through policy changes.
TEST(Scheduler, KeepsNoQueuesForUnknownNames)
{
  for (uint64_t id = 1; id <= 50; ++id) {
    const std::string name = std::to_string(id);
    Admission::Offer(mScheduler, mPolicy, { id, name, name, kStart + 1s }, kStart);
  }
  LONGS_EQUAL(1, mScheduler.mKinds.size());
  LONGS_EQUAL(1, mScheduler.mKinds[""].mClients.size());
  Admission::Tick(mScheduler, Admission::Policy(), kStart + 2s);
  LONGS_EQUAL(1, mScheduler.mKinds.size());
  for (uint64_t id = 1; id <= 50; ++id) {
    Admission::Finish(
      mScheduler, Admission::Policy(), id, Admission::WorkOutcome::Answered, kStart + 3s);
  }
  Admission::Tick(mScheduler, Admission::Policy(), kStart + 4s);
  LONGS_EQUAL(0, mScheduler.mKinds.size());
}

#include "admission/scheduler.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

using namespace std::chrono_literals;

namespace {

constexpr Base::Duration kStep = 1ms;

struct Stream
{
  std::string mKind;
  std::string mClient;
  /// Interval between two requests.
  Base::Duration mInterval;
  Base::Duration mService;
  Base::Duration mDeadline;
};

struct Served
{
  int mOffered = 0;
  int mDispatched = 0;
  Base::Duration mBusy{ 0 };
  /// Longest time that an item was at the head of its queue.
  Base::Duration mLongestWait{ 0 };
  Base::TimePoint mLast{ 100s };
};

/// Simulates request streams to one upstream with three slots.
std::vector<Served>
Run(const Admission::Policy& aPolicy, const std::vector<Stream>& aStreams, Base::Duration aLength)
{
  const Base::TimePoint start(100s);
  Admission::Scheduler scheduler;
  std::vector<Served> served(aStreams.size());
  std::vector<std::pair<Base::TimePoint, uint64_t>> running;
  std::map<uint64_t, size_t> owner;
  std::map<uint64_t, Base::TimePoint> offered;
  uint64_t nextId = 1;
  Admission::Report(scheduler, 3, 1, start - 20s);
  for (Base::TimePoint now = start; now < start + aLength; now += kStep) {
    if ((now - start) % Base::Duration(1s) == Base::Duration(0)) {
      Admission::Report(scheduler, 3, static_cast<uint32_t>(running.size()), now);
    }
    const auto apply = [&](const Admission::Effects& aEffects) {
      for (const Admission::WorkItem& item : aEffects.mDispatch) {
        const size_t stream = owner[item.mId];
        Served& entry = served[stream];
        ++entry.mDispatched;
        entry.mBusy += aStreams[stream].mService;
        const Base::TimePoint first = std::max(entry.mLast, offered[item.mId]);
        entry.mLongestWait = std::max(entry.mLongestWait, now - first);
        entry.mLast = now;
        running.emplace_back(now + aStreams[stream].mService, item.mId);
      }
    };
    for (size_t i = 0; i < running.size();) {
      if (running[i].first > now) {
        ++i;
        continue;
      }
      const uint64_t id = running[i].second;
      running.erase(running.begin() + static_cast<int64_t>(i));
      apply(Admission::Finish(scheduler, aPolicy, id, Admission::WorkOutcome::Answered, now));
    }
    for (size_t i = 0; i < aStreams.size(); ++i) {
      if ((now - start) % aStreams[i].mInterval == Base::Duration(0)) {
        owner[nextId] = i;
        offered[nextId] = now;
        ++served[i].mOffered;
        apply(Admission::Offer(
          scheduler,
          aPolicy,
          { nextId, aStreams[i].mKind, aStreams[i].mClient, now + aStreams[i].mDeadline },
          now));
        ++nextId;
      }
    }
    apply(Admission::Tick(scheduler, aPolicy, now));
  }
  return served;
}

double
SlotsUsed(const Served& aServed, Base::Duration aLength)
{
  return std::chrono::duration<double>(aServed.mBusy) / std::chrono::duration<double>(aLength);
}

Admission::Policy
CounterPolicy()
{
  Admission::Policy policy;
  policy.mKinds = { { "buyback", 400, 2 }, { "lookup", 500, 1 }, { "export", 100, 0 } };
  policy.mClients = { { "north", 400, 0 }, { "south", 400, 0 }, { "harbour", 0, 20 } };
  return policy;
}

} // namespace

TEST_GROUP(Fairness){};

// Guards against the most urgent kind consuming the guarantees of other kinds.
TEST(Fairness, UrgentFloodLeavesOtherGuarantees)
{
  const std::vector<Served> served = Run(CounterPolicy(),
                                         { { "buyback", "north", 1ms, 20ms, 1s },
                                           { "lookup", "south", 8ms, 10ms, 1s },
                                           { "export", "south", 2s, 400ms, 60s } },
                                         20s);
  CHECK_TRUE(served[1].mDispatched >= served[1].mOffered * 95 / 100);
  CHECK_TRUE(served[2].mDispatched >= served[2].mOffered - 1);
}

// Guards against the least urgent kind occupying all slots with long work.
TEST(Fairness, LongFloodLeavesASlotForShortWork)
{
  const std::vector<Served> served = Run(CounterPolicy(),
                                         { { "export", "north", 20ms, 2s, 60s },
                                           { "lookup", "south", 20ms, 10ms, 300ms },
                                           { "buyback", "south", 60ms, 20ms, 300ms } },
                                         20s);
  CHECK_TRUE(served[1].mDispatched >= served[1].mOffered * 95 / 100);
  CHECK_TRUE(served[2].mDispatched >= served[2].mOffered * 95 / 100);
}

// Guards against idle slots while only one kind has work.
TEST(Fairness, BorrowsUnusedShare)
{
  const std::vector<Served> served =
    Run(CounterPolicy(), { { "export", "north", 5ms, 50ms, 2s } }, 5s);
  CHECK_TRUE(SlotsUsed(served[0], 5s) > 2.9);
}

// Guards against backlogged kinds whose slot time differs from their shares.
TEST(Fairness, DividesSlotTimeBySharesUnderFloods)
{
  const std::vector<Served> served = Run(CounterPolicy(),
                                         { { "buyback", "north", 1ms, 20ms, 1s },
                                           { "lookup", "south", 1ms, 10ms, 1s },
                                           { "export", "south", 2ms, 50ms, 2s } },
                                         20s);
  CHECK_TRUE(SlotsUsed(served[0], 20s) > 0.95 * 1.2 && SlotsUsed(served[0], 20s) < 1.05 * 1.2);
  CHECK_TRUE(SlotsUsed(served[1], 20s) > 0.95 * 1.5 && SlotsUsed(served[1], 20s) < 1.05 * 1.5);
  CHECK_TRUE(SlotsUsed(served[2], 20s) > 0.95 * 0.3 && SlotsUsed(served[2], 20s) < 1.15 * 0.3);
}

// Guards against a client consuming the share of another client of the same kind.
TEST(Fairness, ClientFloodLeavesOtherClients)
{
  const std::vector<Served> served =
    Run(CounterPolicy(),
        { { "lookup", "north", 1ms, 10ms, 500ms }, { "lookup", "south", 10ms, 10ms, 500ms } },
        10s);
  CHECK_TRUE(served[1].mDispatched >= served[1].mOffered * 95 / 100);
}

// Guards against starvation of work without a share, and against a long export that waits longer
// than the documented limit.
TEST(Fairness, ServesWorkWithoutAShareWithinTheBound)
{
  Admission::Policy policy = CounterPolicy();
  policy.mKinds = { { "buyback", 500, 2 }, { "lookup", 500, 1 }, { "export", 0, 0 } };
  const std::vector<Served> served = Run(policy,
                                         { { "buyback", "north", 1ms, 20ms, 1s },
                                           { "lookup", "south", 1ms, 10ms, 1s },
                                           { "export", "harbour", 1s, 2s, 600s } },
                                         30s);
  CHECK_TRUE(served[2].mDispatched >= 5);
  CHECK_TRUE(served[2].mLongestWait <= Admission::kStarvationBound + 100ms);
}

// Guards against a surge allowance that is ignored or can be used repeatedly.
TEST(Fairness, SurgeAllowanceServesABurstOnce)
{
  Admission::Policy policy = CounterPolicy();
  policy.mClients = { { "north", 600, 0 }, { "harbour", 0, 20 } };
  const std::vector<Served> served =
    Run(policy,
        { { "lookup", "north", 1ms, 10ms, 500ms }, { "lookup", "harbour", 5ms, 10ms, 400ms } },
        4s);
  CHECK_TRUE(served[1].mDispatched >= 18);
  CHECK_TRUE(served[1].mDispatched <= 30);
}

// Guards against many clients without a share that together consume the guarantee of another client
// through starvation prevention.
TEST(Fairness, StarvingClientsLeaveTheGuaranteeOfOthers)
{
  Admission::Policy policy;
  policy.mKinds = { { "export", 1000, 0 } };
  policy.mClients = { { "north", 700, 0 } };
  std::vector<Stream> streams = { { "export", "north", 250ms, 400ms, 2s } };
  for (int i = 0; i < 100; ++i) {
    const std::string name = "guest-" + std::to_string(i);
    policy.mClients.push_back({ name, 0, 0 });
    streams.push_back({ "export", name, 1s, 400ms, 600s });
  }
  const std::vector<Served> served = Run(policy, streams, 40s);
  CHECK_TRUE(served[0].mDispatched >= served[0].mOffered * 95 / 100);
}

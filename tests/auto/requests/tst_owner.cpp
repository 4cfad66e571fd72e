#include "fixture.h"

#include <CppUTest/TestHarness.h>

using namespace RequestsTest;
using Requests::Event;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(Owner)
{
  Node mNode{ 1 };
  OpenedFlow mFlow = Open(mNode);

  /// Sends a request that is dispatched immediately.
  lw::upstream::WorkId Dispatch(uint64_t aNumber, bool aIsRepeatable = false)
  {
    const auto works = DispatchedWork(mNode.Caller(MakeRequest(mFlow, aNumber, aIsRepeatable)));
    CHECK_TRUE(works.size() == 1);
    return works.at(0).id();
  }

  /// Sets the slots of the upstream and completes its slow start, which begins with its first work.
  void WarmUp(uint32_t aSlots)
  {
    constexpr seconds kSlowStart{ 10 };
    const OpenedFlow other = Open(mNode, 99);
    const auto works = DispatchedWork(mNode.Caller(MakeRequest(other, 1)));
    mNode.Advance(milliseconds(300));
    mNode.Upstream(MakePiece(works.at(0).id(), 0, 1, "a"));
    mNode.mView.mUpstreams[0].mSlots = aSlots;
    mNode.mView.mUpstreams[0].mLeaseEnd = mNode.mNow + seconds(60);
    mNode.Tick();
    mNode.Advance(kSlowStart);
    mNode.Tick();
  }

  /// Completes requests until the retry budget allows retries. Each answer takes 200 ms, so that
  /// the upstream is not considered hung before an unanswered request is retried.
  void FillRetryBudget()
  {
    for (uint64_t number = 1; number <= 20; ++number) {
      const lw::upstream::WorkId id = Dispatch(number);
      mNode.Advance(milliseconds(200));
      mNode.Upstream(MakePiece(id, 0, 1, "a"));
    }
  }
};

TEST(Owner, AnswersWithAllPieces)
{
  const auto works = DispatchedWork(mNode.Caller(MakeRequest(mFlow, 1)));
  UNSIGNED_LONGS_EQUAL(1, works.size());
  UNSIGNED_LONGS_EQUAL(kDeadlineMs, works[0].deadline_ms());
  CHECK_TRUE(AnswerPieces(mNode.Upstream(MakePiece(works[0].id(), 1, 2, "b"))).empty());
  const auto pieces = AnswerPieces(mNode.Upstream(MakePiece(works[0].id(), 0, 2, "a")));
  CHECK_TRUE(pieces == std::vector<std::string>({ "a", "b" }));
}

// Guards against dispatching duplicates of queued, running or answered requests.
TEST(Owner, DuplicatesAreNotDispatched)
{
  const lw::upstream::WorkId running = Dispatch(1);
  CHECK_TRUE(DispatchedWork(mNode.Caller(MakeRequest(mFlow, 2))).empty());
  CHECK_TRUE(HasEvent(mNode.Caller(MakeRequest(mFlow, 1)), Event::DropInProgress));
  CHECK_TRUE(HasEvent(mNode.Caller(MakeRequest(mFlow, 2)), Event::DropInProgress));
  const auto next = DispatchedWork(mNode.Upstream(MakePiece(running, 0, 1, "answer")));
  UNSIGNED_LONGS_EQUAL(1, next.size());
  const Requests::Effects again = mNode.Caller(MakeRequest(mFlow, 1));
  CHECK_TRUE(again.mToUpstreams.empty());
  CHECK_TRUE(AnswerPieces(again) == std::vector<std::string>({ "answer" }));
}

// Guards against dispatching a request number whose state is no longer known.
TEST(Owner, NumberBelowTheWindowIsUnknown)
{
  Dispatch(100);
  const Requests::Effects effects = mNode.Caller(MakeRequest(mFlow, 36, true));
  CHECK_TRUE(HasOutcome(effects, lw::caller::OUTCOME_UNKNOWN));
  CHECK_TRUE(effects.mToUpstreams.empty());
}

// Guards against sending a restarted caller the answer to an earlier request with the same number.
TEST(Owner, ReusedNumberNeverGetsTheEarlierAnswer)
{
  const lw::upstream::WorkId id = Dispatch(1);
  const lw::caller::CallerPacket reused = MakeRequest(mFlow, 1, false, "another body");
  CHECK_TRUE(HasOutcome(mNode.Caller(reused), lw::caller::OUTCOME_UNKNOWN));
  CHECK_TRUE(mNode.Upstream(MakePiece(id, 0, 1, "answer")).mToCallers.empty());
  CHECK_TRUE(HasOutcome(mNode.Caller(reused), lw::caller::OUTCOME_UNKNOWN));
  CHECK_TRUE(HasOutcome(mNode.Caller(MakeRequest(mFlow, 1)), lw::caller::OUTCOME_UNKNOWN));
}

// Guards against a second dispatch when the answer is no longer stored.
TEST(Owner, AnswerThatIsNoLongerStoredIsUnknown)
{
  mNode.mLimits.mMaxAnswerBytes = 2000;
  mNode.Upstream(MakePiece(Dispatch(1), 0, 1, std::string(1500, 'x')));
  mNode.Upstream(MakePiece(Dispatch(2), 0, 1, std::string(1500, 'y')));
  CHECK_TRUE(HasOutcome(mNode.Caller(MakeRequest(mFlow, 1)), lw::caller::OUTCOME_UNKNOWN));
  UNSIGNED_LONGS_EQUAL(1, AnswerPieces(mNode.Caller(MakeRequest(mFlow, 2))).size());
  mNode.Advance(seconds(10));
  CHECK_TRUE(HasOutcome(mNode.Caller(MakeRequest(mFlow, 2)), lw::caller::OUTCOME_UNKNOWN));
}

// Guards against dispatching a request after it was reported as NOT_RUN at its deadline.
TEST(Owner, QueuedRequestIsRefusedAtItsDeadlineForGood)
{
  const lw::upstream::WorkId running = Dispatch(1);
  mNode.Caller(MakeRequest(mFlow, 2, false, "body", 100));
  mNode.Advance(milliseconds(200));
  CHECK_TRUE(HasOutcome(mNode.Tick(), lw::caller::NOT_RUN));
  CHECK_TRUE(DispatchedWork(mNode.Upstream(MakePiece(running, 0, 1, "a"))).empty());
  const Requests::Effects copy = mNode.Caller(MakeRequest(mFlow, 2, false, "body", 100));
  CHECK_TRUE(HasOutcome(copy, lw::caller::NOT_RUN) && copy.mToUpstreams.empty());
}

// Guards against NOT_RUN after dispatch, and against an answer after OUTCOME_UNKNOWN.
TEST(Owner, DispatchedRequestIsUnknownAtItsDeadline)
{
  const lw::upstream::WorkId id = Dispatch(1);
  mNode.Advance(milliseconds(kDeadlineMs));
  const Requests::Effects effects = mNode.Tick();
  CHECK_TRUE(HasOutcome(effects, lw::caller::OUTCOME_UNKNOWN));
  UNSIGNED_LONGS_EQUAL(1, CountCancels(effects));
  const Requests::Effects late = mNode.Upstream(MakePiece(id, 0, 1, "late"));
  CHECK_TRUE(late.mToCallers.empty() && HasEvent(late, Event::DropLateAnswer));
  CHECK_TRUE(HasOutcome(mNode.Caller(MakeRequest(mFlow, 1)), lw::caller::OUTCOME_UNKNOWN));
}

// Guards against matching answers to the wrong request when they are interleaved, belong to an
// earlier run or come from another upstream.
TEST(Owner, AnswersMatchOneRequest)
{
  WarmUp(2);
  const OpenedFlow other = Open(mNode, 2);
  const lw::upstream::WorkId first = Dispatch(1);
  const lw::upstream::WorkId second =
    DispatchedWork(mNode.Caller(MakeRequest(other, 1))).at(0).id();
  CHECK_TRUE(AnswerPieces(mNode.Upstream(MakePiece(first, 0, 2, "1a"))).empty());
  CHECK_TRUE(AnswerPieces(mNode.Upstream(MakePiece(second, 1, 2, "2b"))).empty());
  lw::upstream::WorkId earlier = second;
  earlier.set_incarnation(second.incarnation() + 1);
  CHECK_TRUE(HasEvent(mNode.Upstream(MakePiece(earlier, 0, 2, "x")), Event::DropForeignWork));
  const Requests::Effects foreign = mNode.Upstream(MakePiece(second, 0, 2, "x"), { 1, 1 });
  CHECK_TRUE(HasEvent(foreign, Event::DropWrongUpstream));
  const auto whole = AnswerPieces(mNode.Upstream(MakePiece(second, 0, 2, "2a")));
  CHECK_TRUE(whole == std::vector<std::string>({ "2a", "2b" }));
}

// Guards against retrying a non-idempotent request that the upstream did not refuse.
TEST(Owner, NonIdempotentRequestIsNotSentAgainAfterLoss)
{
  WarmUp(2);
  FillRetryBudget();
  Dispatch(21);
  for (int step = 0; step < 22; ++step) {
    mNode.Advance(milliseconds(50));
    CHECK_TRUE(DispatchedWork(mNode.Tick()).empty());
  }
}

// Guards against losing a repeatable request although the retry budget allows a retry.
TEST(Owner, RepeatableRequestIsSentAgainAfterLoss)
{
  WarmUp(2);
  FillRetryBudget();
  Dispatch(21, true);
  mNode.Advance(milliseconds(600));
  const auto retries = DispatchedWork(mNode.Tick());
  UNSIGNED_LONGS_EQUAL(1, retries.size());
  UNSIGNED_LONGS_EQUAL(1,
                       AnswerPieces(mNode.Upstream(MakePiece(retries[0].id(), 0, 1, "a"))).size());
}

// Guards against reporting a passed deadline for work refused because the upstream hangs.
TEST(Owner, HungUpstreamIsNamedInTheRefusal)
{
  WarmUp(2);
  FillRetryBudget();
  const auto request = MakeRequest(mFlow, 21, false, "body", 10000);
  UNSIGNED_LONGS_EQUAL(1, DispatchedWork(mNode.Caller(request)).size());
  mNode.Advance(seconds(3));
  mNode.Tick();
  const Requests::Effects refused = mNode.Caller(MakeRequest(mFlow, 22));
  CHECK_TRUE(HasOutcome(refused, lw::caller::NOT_RUN) && refused.mToUpstreams.empty());
  CHECK_TRUE(HasEvent(refused, Event::RefuseUpstreamHung));
}

// Guards against an answer with pieces of two attempts after pieces were lost.
TEST(Owner, PartlyLostAnswerIsNotMixedWithItsRepetition)
{
  WarmUp(2);
  FillRetryBudget();
  const lw::upstream::WorkId first = Dispatch(21, true);
  mNode.Upstream(MakePiece(first, 0, 2, "old a"));
  mNode.Advance(milliseconds(500));
  const auto retries = DispatchedWork(mNode.Tick());
  UNSIGNED_LONGS_EQUAL(1, retries.size());
  CHECK_TRUE(AnswerPieces(mNode.Upstream(MakePiece(retries[0].id(), 1, 2, "new b"))).empty());
  const Requests::Effects last = mNode.Upstream(MakePiece(first, 1, 2, "old b"));
  CHECK_TRUE(AnswerPieces(last) == std::vector<std::string>({ "old a", "old b" }));
  UNSIGNED_LONGS_EQUAL(1, CountCancels(last));
  CHECK_TRUE(mNode.Upstream(MakePiece(retries[0].id(), 0, 2, "new a")).mToCallers.empty());
}

// Guards against losing a request refused by the upstream, and against exceeding the retry budget.
TEST(Owner, ShedIsRetriedWithinTheBudget)
{
  CHECK_TRUE(HasOutcome(mNode.Upstream(MakeShed(Dispatch(1))), lw::caller::NOT_RUN));
  const Requests::Effects copy = mNode.Caller(MakeRequest(mFlow, 1));
  CHECK_TRUE(HasOutcome(copy, lw::caller::NOT_RUN) && copy.mToUpstreams.empty());
  for (uint64_t number = 2; number <= 20; ++number) {
    mNode.Upstream(MakePiece(Dispatch(number), 0, 1, "a"));
  }
  const lw::upstream::WorkId first = Dispatch(21);
  CHECK_TRUE(mNode.Upstream(MakeShed(first)).mToCallers.empty());
  mNode.Advance(milliseconds(50));
  const auto retries = DispatchedWork(mNode.Tick());
  UNSIGNED_LONGS_EQUAL(1, retries.size());
  CHECK_FALSE(retries[0].id().number() == first.number());
  CHECK_TRUE(HasEvent(mNode.Upstream(MakeShed(first)), Event::DropLateAnswer));
  UNSIGNED_LONGS_EQUAL(1,
                       AnswerPieces(mNode.Upstream(MakePiece(retries[0].id(), 0, 1, "a"))).size());
}

// Guards against running a queued or not yet received request after confirming its cancellation.
TEST(Owner, CanceledBeforeDispatchNeverRuns)
{
  const lw::upstream::WorkId running = Dispatch(1);
  mNode.Caller(MakeRequest(mFlow, 2));
  CHECK_TRUE(HasOutcome(mNode.Caller(MakeCancel(mFlow, 2)), lw::caller::NOT_RUN));
  CHECK_TRUE(HasOutcome(mNode.Caller(MakeCancel(mFlow, 3)), lw::caller::NOT_RUN));
  CHECK_TRUE(DispatchedWork(mNode.Upstream(MakePiece(running, 0, 1, "a"))).empty());
  for (uint64_t number : { 2, 3 }) {
    const Requests::Effects copy = mNode.Caller(MakeRequest(mFlow, number));
    CHECK_TRUE(HasOutcome(copy, lw::caller::NOT_RUN) && copy.mToUpstreams.empty());
  }
}

// Guards against NOT_RUN when a cancellation arrives after the dispatch, unless the upstream
// refuses the work.
TEST(Owner, CanceledAfterDispatchTellsWhatTheUpstreamSays)
{
  WarmUp(3);
  const lw::upstream::WorkId answered = Dispatch(1);
  const lw::upstream::WorkId refused = Dispatch(2);
  Dispatch(3);
  for (uint64_t number : { 1, 2, 3 }) {
    const Requests::Effects cancel = mNode.Caller(MakeCancel(mFlow, number));
    CHECK_TRUE(cancel.mToCallers.empty() && CountCancels(cancel) == 1);
  }
  UNSIGNED_LONGS_EQUAL(1, AnswerPieces(mNode.Upstream(MakePiece(answered, 0, 1, "a"))).size());
  CHECK_TRUE(HasOutcome(mNode.Upstream(MakeShed(refused)), lw::caller::NOT_RUN));
  mNode.Advance(milliseconds(1000));
  CHECK_TRUE(HasOutcome(mNode.Tick(), lw::caller::OUTCOME_UNKNOWN));
}

// Guards against NOT_RUN when an upstream refuses work that it has already started to answer.
TEST(Owner, ShedAfterAPieceIsIgnored)
{
  const lw::upstream::WorkId id = Dispatch(1);
  mNode.Upstream(MakePiece(id, 0, 2, "a"));
  CHECK_TRUE(HasEvent(mNode.Upstream(MakeShed(id)), Event::DropBadPiece));
  UNSIGNED_LONGS_EQUAL(2, AnswerPieces(mNode.Upstream(MakePiece(id, 1, 2, "b"))).size());
}

// Guards against sending work to an upstream of an earlier generation of the service.
TEST(Owner, GoneUpstreamGetsNoWork)
{
  mNode.mView.mUpstreams[0].mGeneration = Base::ServiceGeneration(4);
  const Requests::Effects first = mNode.Caller(MakeRequest(mFlow, 1, false));
  CHECK_TRUE(HasOutcome(first, lw::caller::NOT_RUN) && first.mToUpstreams.empty());
  CHECK_TRUE(HasOutcome(mNode.Caller(MakeRequest(mFlow, 2, true)), lw::caller::FLOW_GONE));
}

// Guards against new work for a draining upstream after 3 s (P6), and against refusing requests
// before the grace period ends.
TEST(Owner, DrainingUpstreamGetsNoWorkAfterItsGrace)
{
  WarmUp(3);
  const lw::upstream::WorkId running = Dispatch(1);
  mNode.mView.mUpstreams[0].mState = Membership::UpstreamState::Draining;
  mNode.Tick();
  Dispatch(2);
  mNode.Advance(milliseconds(999));
  Dispatch(3);
  mNode.Advance(milliseconds(1));
  CHECK_TRUE(HasOutcome(mNode.Caller(MakeRequest(mFlow, 4, false)), lw::caller::NOT_RUN));
  CHECK_TRUE(HasOutcome(mNode.Caller(MakeRequest(mFlow, 5, true)), lw::caller::FLOW_GONE));
  CHECK_TRUE(HasEvent(mNode.Caller(MakeOpen(5)), Event::OpenNoUpstream));
  UNSIGNED_LONGS_EQUAL(1, AnswerPieces(mNode.Upstream(MakePiece(running, 0, 1, "a"))).size());
}

// Guards against new flows at an upstream of an evacuated availability zone, and against an open
// flow there that gets no more work, as it would at a draining upstream.
TEST(Owner, UpstreamOfAnEvacuatedZoneServesOnlyOpenFlows)
{
  WarmUp(3);
  mNode.mView.mUpstreams[0].mNewWorkShare = 0;
  mNode.Tick();
  Dispatch(1);
  mNode.Advance(seconds(10));
  mNode.Tick();
  Dispatch(2);
  CHECK_TRUE(HasEvent(mNode.Caller(MakeOpen(5)), Event::OpenNoUpstream));
  mNode.mView.mUpstreams[0].mNewWorkShare = 1;
  mNode.Tick();
  CHECK_FALSE(Open(mNode, 6).mTicket.empty());
}

// Guards against exceeding the limit of the flow table, and against idle flows that are never
// removed.
TEST(Owner, FullFlowTableRefusesNewFlows)
{
  mNode.mLimits.mMaxFlows = 1;
  const Requests::Effects effects = mNode.Caller(MakeOpen(2));
  CHECK_TRUE(HasEvent(effects, Event::OpenFlowTableFull));
  UNSIGNED_LONGS_EQUAL(2, FindRefusal(effects)->open_id());
  mNode.Advance(std::chrono::minutes(10));
  mNode.Tick();
  CHECK_FALSE(Open(mNode, 3).mTicket.empty());
  // The removed flow must not be recreated with an empty window.
  CHECK_TRUE(HasOutcome(mNode.Caller(MakeRequest(mFlow, 1)), lw::caller::OUTCOME_UNKNOWN));
}

// Guards against retransmissions of an OpenFlow filling the table, and against giving a restarted
// caller the used flow of its earlier run.
TEST(Owner, CopiedOpenGetsTheFlowOnlyWhileItIsUnused)
{
  CHECK_TRUE(Open(mNode).mFlow == mFlow.mFlow);
  Dispatch(1);
  CHECK_FALSE(Open(mNode).mFlow == mFlow.mFlow);
}

// Guards against accepting work of a kind that the service does not define.
TEST(Owner, UnknownKindIsRefused)
{
  lw::caller::CallerPacket packet = MakeRequest(mFlow, 1);
  packet.mutable_request()->set_kind("unknown");
  CHECK_TRUE(HasOutcome(mNode.Caller(packet), lw::caller::NOT_RUN));
}

#include "fixture.h"

#include <CppUTest/TestHarness.h>

using namespace RequestsTest;
using Requests::Event;
using std::chrono::seconds;

namespace {

/// Delivers the packets of one node to another.
/// \return the effects of the last packet.
Requests::Effects
Deliver(const Requests::Effects& aFrom, Node& aTo)
{
  Requests::Effects last;
  for (const Requests::ToPeer& packet : aFrom.mToPeers) {
    if (packet.mInstance == aTo.mState.mSelf.mInstance) {
      last = aTo.Peer(packet.mPayload);
    }
  }
  return last;
}

} // namespace

TEST_GROUP(Routing)
{
  Node mOwner{ 1 };
  Node mOther{ 2 };
  OpenedFlow mFlow;

  void setup() override
  {
    mFlow = Open(mOwner);
    mOwner.SetMembers({ &mOther });
    mOther.SetMembers({ &mOwner });
  }

  /// Removes the owner from the view of the other instance until it is considered gone.
  void RemoveOwner()
  {
    mOther.SetMembers({});
    mOther.Advance(seconds(10));
  }

  void CheckGone()
  {
    const Requests::Effects once = mOther.Caller(MakeRequest(mFlow, 1, false));
    CHECK_TRUE(HasOutcome(once, lw::caller::OUTCOME_UNKNOWN) && once.mToUpstreams.empty());
    const Requests::Effects repeatable = mOther.Caller(MakeRequest(mFlow, 1, true));
    CHECK_TRUE(HasOutcome(repeatable, lw::caller::FLOW_GONE) && repeatable.mToUpstreams.empty());
    CHECK_TRUE(HasOutcome(mOther.Caller(MakeCancel(mFlow, 1)), lw::caller::OUTCOME_UNKNOWN));
  }
};

// Guards against a second dispatch when the fabric delivers a duplicate to another instance.
TEST(Routing, CopyAtAnotherInstanceReachesTheOwner)
{
  UNSIGNED_LONGS_EQUAL(1, DispatchedWork(mOwner.Caller(MakeRequest(mFlow, 1))).size());
  const Requests::Effects forwarded = mOther.Caller(MakeRequest(mFlow, 1));
  CHECK_TRUE(forwarded.mToUpstreams.empty() && forwarded.mToCallers.empty());
  CHECK_TRUE(HasEvent(Deliver(forwarded, mOwner), Event::DropInProgress));
  const Requests::Effects next = Deliver(mOther.Caller(MakeRequest(mFlow, 2)), mOwner);
  CHECK_TRUE(next.mToPeers.empty() && next.mToCallers.empty());
}

TEST(Routing, OpenGoesToTheDispatcherOfTheUpstream)
{
  const Membership::Member* dispatcher =
    Membership::DispatcherOf(mOwner.mView, mOwner.mView.mUpstreams[0]);
  Node& expected = dispatcher->mId == mOwner.mState.mSelf.mInstance ? mOwner : mOther;
  Node& receiver = &expected == &mOwner ? mOther : mOwner;
  CHECK_TRUE(HasEvent(Deliver(receiver.Caller(MakeOpen(9)), expected), Event::Opened));
}

// Guards against NOT_RUN and a second dispatch when the owner fails before the dispatch.
TEST(Routing, OwnerDeadBeforeDispatch)
{
  RemoveOwner();
  CheckGone();
}

// As above, but after the dispatch and after the answer: other instances cannot distinguish the
// cases.
TEST(Routing, OwnerDeadAfterDispatchOrAnswer)
{
  const auto works = DispatchedWork(mOwner.Caller(MakeRequest(mFlow, 1)));
  RemoveOwner();
  CheckGone();
  mOwner.Upstream(MakePiece(works.at(0).id(), 0, 1, "a"));
  CheckGone();
}

// Covers an owner that fails between queueing and dispatch while a duplicate is in transit to it.
TEST(Routing, OwnerDeadDuringDispatch)
{
  mOwner.Caller(MakeRequest(mFlow, 1));
  mOwner.Caller(MakeRequest(mFlow, 2));
  const Requests::Effects forwarded = mOther.Caller(MakeRequest(mFlow, 2));
  Node restarted(1, 8);
  restarted.SetMembers({ &mOther });
  restarted.Advance(seconds(10));
  const Requests::Effects first = Deliver(forwarded, restarted);
  CHECK_TRUE(first.mToUpstreams.empty() && !HasOutcome(first, lw::caller::NOT_RUN));
}

// Guards against a restarted instance accepting tickets of its previous run.
TEST(Routing, RestartedOwnerKnowsNothingOfOldTickets)
{
  Node restarted(1, 8);
  restarted.SetMembers({ &mOther });
  mOther.SetMembers({ &restarted });
  // A restarted instance first forwards the request to another instance, which sends it back to the
  // instance named in the ticket.
  const Requests::Effects young = restarted.Caller(MakeRequest(mFlow, 1));
  CHECK_TRUE(young.mToCallers.empty() && young.mToUpstreams.empty());
  restarted.Advance(seconds(10));
  const Requests::Effects settled = Deliver(mOther.Caller(MakeRequest(mFlow, 1)), restarted);
  CHECK_TRUE(HasOutcome(settled, lw::caller::OUTCOME_UNKNOWN) && settled.mToUpstreams.empty());
}

// Guards against two instances dispatching the same request because their views differ.
TEST(Routing, DifferentViewsDispatchOnce)
{
  mOther.SetMembers({});
  mOther.Advance(seconds(10));
  const Requests::Effects isolated = mOther.Caller(MakeRequest(mFlow, 1));
  CHECK_TRUE(HasOutcome(isolated, lw::caller::OUTCOME_UNKNOWN));
  UNSIGNED_LONGS_EQUAL(1, DispatchedWork(mOwner.Caller(MakeRequest(mFlow, 1))).size());
  mOther.SetMembers({ &mOwner });
  const Requests::Effects copy = Deliver(mOther.Caller(MakeRequest(mFlow, 1)), mOwner);
  CHECK_TRUE(HasEvent(copy, Event::DropInProgress));
}

// Guards against FLOW_GONE or OUTCOME_UNKNOWN from an instance that has not yet learned of a new
// member.
TEST(Routing, UnseenRunIsNotTakenForGone)
{
  Node late(3);
  const Requests::Effects early = late.Caller(MakeRequest(mFlow, 1));
  CHECK_TRUE(early.mToCallers.empty() && HasEvent(early, Event::DropViewNotSettled));
  late.Advance(seconds(7));
  CHECK_TRUE(HasOutcome(late.Caller(MakeRequest(mFlow, 1)), lw::caller::OUTCOME_UNKNOWN));
}

// Guards against an isolated availability zone that stops serving, or that reports NOT_RUN for
// flows of the unreachable instances.
TEST(Routing, IsolatedAvailabilityZoneContinuesWithItsOwn)
{
  mOther.SetMembers({});
  mOther.Advance(seconds(10));
  const OpenedFlow isolated = Open(mOther, 8);
  UNSIGNED_LONGS_EQUAL(1, DispatchedWork(mOther.Caller(MakeRequest(isolated, 1))).size());
  CheckGone();
  UNSIGNED_LONGS_EQUAL(1, DispatchedWork(mOwner.Caller(MakeRequest(mFlow, 1))).size());
}

// Guards against accepting tickets of another region.
TEST(Routing, TicketOfAnotherRegionIsDropped)
{
  Node foreign(7);
  foreign.mSettings.mTicketKey = Requests::MakeTicketKey("key of another region");
  const Requests::Effects effects = foreign.Caller(MakeRequest(mFlow, 2));
  CHECK_TRUE(HasEvent(effects, Event::DropForgedTicket));
  CHECK_TRUE(effects.mToCallers.empty() && effects.mToUpstreams.empty());
}

// Guards against forwarding loops between instances whose views differ.
TEST(Routing, ForwardingEnds)
{
  Node third(3);
  Node absent(4);
  third.SetMembers({ &mOther, &absent });
  mOther.SetMembers({ &third });
  mOther.mState.mRuns = {};
  Requests::Effects effects = mOther.Caller(MakeRequest(mFlow, 1));
  int hops = 0;
  while (!effects.mToPeers.empty() && hops < 10) {
    Node& next = effects.mToPeers[0].mInstance == Base::InstanceId(2) ? mOther : third;
    effects = next.Peer(effects.mToPeers[0].mPayload);
    ++hops;
  }
  CHECK_TRUE(hops <= 4);
}

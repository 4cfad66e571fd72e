#include "fixture.h"

#include <CppUTest/TestHarness.h>

using namespace RequestsTest;
using Requests::Event;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(Handover)
{
  Node mOld{ 1 };
  Node mNew{ 2 };
  OpenedFlow mFlow;

  void setup() override
  {
    mFlow = Open(mOld);
    mOld.SetMembers({ &mNew });
    mNew.SetMembers({ &mOld });
  }

  /// Delivers packets between the two nodes until there are none left.
  void Exchange(Requests::Effects aEffects)
  {
    while (!aEffects.mToPeers.empty()) {
      Requests::Effects next;
      for (const Requests::ToPeer& packet : aEffects.mToPeers) {
        Node& target = packet.mInstance == Base::InstanceId(1) ? mOld : mNew;
        for (const Requests::ToPeer& reply : target.Peer(packet.mPayload).mToPeers) {
          next.mToPeers.push_back(reply);
        }
      }
      aEffects = next;
    }
  }

  void LeaveCompletely()
  {
    mOld.Leave();
    for (int i = 0; i < 25; ++i) {
      mOld.Advance(milliseconds(50));
      mNew.Advance(milliseconds(50));
      Exchange(mOld.Tick());
    }
  }
};

// Guards against a graceful shutdown that loses the state of requests (P5, P7).
TEST(Handover, SuccessorContinuesFlowsWithTheirWindows)
{
  mOld.Upstream(
    MakePiece(DispatchedWork(mOld.Caller(MakeRequest(mFlow, 1))).at(0).id(), 0, 1, "a"));
  LeaveCompletely();
  CHECK_TRUE(Requests::IsDrained(mOld.mState));
  mNew.SetMembers({});
  CHECK_TRUE(AnswerPieces(mNew.Caller(MakeRequest(mFlow, 1))) == std::vector<std::string>({ "a" }));
  UNSIGNED_LONGS_EQUAL(1, DispatchedWork(mNew.Caller(MakeRequest(mFlow, 2))).size());
}

// Guards against dispatches by a leaving instance, and against losing its queued requests.
TEST(Handover, QueuedRequestsRunAtTheSuccessor)
{
  const lw::upstream::WorkId running =
    DispatchedWork(mOld.Caller(MakeRequest(mFlow, 1))).at(0).id();
  mOld.Caller(MakeRequest(mFlow, 2));
  mOld.Leave();
  mOld.Caller(MakeRequest(mFlow, 3));
  CHECK_TRUE(mOld.Tick().mToUpstreams.empty());
  const Requests::Effects finished = mOld.Upstream(MakePiece(running, 0, 1, "a"));
  UNSIGNED_LONGS_EQUAL(1, AnswerPieces(finished).size());
  CHECK_TRUE(finished.mToUpstreams.empty());
  mOld.Advance(milliseconds(200));
  Exchange(mOld.Tick());
  UNSIGNED_LONGS_EQUAL(2, mNew.mState.mCalls.size());
  UNSIGNED_LONGS_EQUAL(1, mNew.mState.mRunning.size());
  const Requests::Effects copy = mOld.Caller(MakeRequest(mFlow, 2));
  UNSIGNED_LONGS_EQUAL(1, copy.mToPeers.size());
  CHECK_TRUE(HasEvent(mNew.Peer(copy.mToPeers[0].mPayload), Event::DropInProgress));
}

// Guards against a flow with two owners while the transfer is unconfirmed.
TEST(Handover, UnconfirmedFlowIsFrozenAndSentAgain)
{
  mOld.Leave();
  const Requests::Effects lost = mOld.Tick();
  CHECK_TRUE(HasEvent(lost, Event::TransferSent));
  const Requests::Effects frozen = mOld.Caller(MakeRequest(mFlow, 1));
  CHECK_TRUE(frozen.mToUpstreams.empty() && frozen.mToCallers.empty());
  CHECK_TRUE(HasEvent(frozen, Event::DropHandoverPending));
  mOld.Advance(milliseconds(200));
  CHECK_TRUE(HasEvent(mOld.Tick(), Event::TransferSent));
  CHECK_FALSE(Requests::IsDrained(mOld.mState));
  // The old owner exits without a confirmation, so the outcome can only be unknown.
  mNew.SetMembers({});
  mNew.Advance(seconds(10));
  CHECK_TRUE(HasOutcome(mNew.Caller(MakeRequest(mFlow, 1)), lw::caller::OUTCOME_UNKNOWN));
}

// Guards against a late copy of a transfer that restores an old window.
TEST(Handover, CopiesOfATransferChangeNothing)
{
  mOld.Leave();
  const Requests::Effects transfer = mOld.Tick();
  Exchange(transfer);
  UNSIGNED_LONGS_EQUAL(1, DispatchedWork(mNew.Caller(MakeRequest(mFlow, 1))).size());
  Exchange(transfer);
  CHECK_TRUE(HasEvent(mNew.Caller(MakeRequest(mFlow, 1)), Event::DropInProgress));
  Requests::RemoveFlow(mNew.mState.mFlows, Base::FlowNumber(mFlow.mFlow));
  Exchange(transfer);
  CHECK_TRUE(DispatchedWork(mNew.Caller(MakeRequest(mFlow, 1))).empty());
}

// Guards against flows being accepted by another instance or by a new run of the successor.
TEST(Handover, OnlyTheNamedSuccessorAccepts)
{
  mOld.Leave();
  const Requests::Effects transfer = mOld.Tick();
  Node uninvolved(3);
  Node restarted(2, 8);
  for (const Requests::ToPeer& packet : transfer.mToPeers) {
    CHECK_TRUE(DispatchedWork(uninvolved.Peer(packet.mPayload)).empty());
    CHECK_TRUE(DispatchedWork(restarted.Peer(packet.mPayload)).empty());
  }
  CHECK_TRUE(uninvolved.mState.mFlows.mFlows.empty());
  CHECK_TRUE(restarted.mState.mFlows.mFlows.empty());
  // The uninvolved instance has received the succession notice and forwards requests to the
  // successor, not to another run of it.
  uninvolved.SetMembers({ &mNew });
  UNSIGNED_LONGS_EQUAL(2, uninvolved.Caller(MakeRequest(mFlow, 1)).mToPeers.at(0).mInstance.mValue);
}

// Guards against losing flows if the successor leaves at the same time (P1, two simultaneous
// changes).
TEST(Handover, FlowGoesToTheNextSuccessorIfTheFirstLeavesToo)
{
  Node third(3);
  mNew.SetMembers({ &mOld, &third });
  mOld.Leave();
  mNew.SetMembers({ &third });
  mNew.Leave();
  Requests::Effects rejection;
  for (const Requests::ToPeer& packet : mOld.Tick().mToPeers) {
    const Requests::Effects reply = mNew.Peer(packet.mPayload);
    if (!reply.mToPeers.empty()) {
      rejection = reply;
    }
  }
  UNSIGNED_LONGS_EQUAL(1, rejection.mToPeers.size());
  const Requests::Effects again = mOld.Peer(rejection.mToPeers[0].mPayload);
  UNSIGNED_LONGS_EQUAL(3, again.mToPeers.at(0).mInstance.mValue);
  const Requests::Effects accepted = third.Peer(again.mToPeers[0].mPayload);
  CHECK_TRUE(HasEvent(accepted, Event::TransferAccepted));
  // A copy that reaches the first successor must not be accepted.
  CHECK_FALSE(HasEvent(mNew.Peer(again.mToPeers[0].mPayload), Event::TransferAccepted));
  for (const Requests::ToPeer& packet : accepted.mToPeers) {
    mOld.Peer(packet.mPayload);
  }
  CHECK_TRUE(mOld.mState.mHandover.mPending.empty());
  UNSIGNED_LONGS_EQUAL(1, DispatchedWork(third.Caller(MakeRequest(mFlow, 1))).size());
}

// Guards against the last instance refusing queued work that it could finish.
TEST(Handover, LastInstanceFinishesItsQueue)
{
  mOld.SetMembers({});
  const lw::upstream::WorkId running =
    DispatchedWork(mOld.Caller(MakeRequest(mFlow, 1))).at(0).id();
  mOld.Caller(MakeRequest(mFlow, 2));
  mOld.Leave();
  CHECK_TRUE(HasOutcome(mOld.Caller(MakeRequest(mFlow, 3)), lw::caller::NOT_RUN));
  const auto next = DispatchedWork(mOld.Upstream(MakePiece(running, 0, 1, "a")));
  UNSIGNED_LONGS_EQUAL(1, next.size());
  CHECK_FALSE(Requests::IsDrained(mOld.mState));
  mOld.Upstream(MakePiece(next[0].id(), 0, 1, "a"));
  CHECK_TRUE(Requests::IsDrained(mOld.mState));
}

// Guards against partially applying a malformed transfer.
TEST(Handover, MalformedTransferChangesNothing)
{
  mOld.Upstream(
    MakePiece(DispatchedWork(mOld.Caller(MakeRequest(mFlow, 5))).at(0).id(), 0, 1, "a"));
  mOld.Leave();
  lw::requestpeer::RequestPeerPacket packet;
  for (const Requests::ToPeer& sent : mOld.Tick().mToPeers) {
    packet.ParseFromString(sent.mPayload);
    if (packet.has_transfer()) {
      break;
    }
  }
  lw::requestpeer::FlowTransfer& transfer = *packet.mutable_transfer();
  transfer.mutable_entries(0)->set_state(0);
  CHECK_TRUE(HasEvent(mNew.Peer(packet.SerializeAsString()), Event::DropMalformed));
  transfer.mutable_entries(0)->set_state(2);
  transfer.mutable_entries(0)->set_number(500);
  CHECK_TRUE(HasEvent(mNew.Peer(packet.SerializeAsString()), Event::DropMalformed));
  CHECK_TRUE(mNew.mState.mFlows.mFlows.empty());
}

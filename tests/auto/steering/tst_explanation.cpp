#include "steering/explanation.h"

#include "evacuationsfixture.h"

#include <CppUTest/TestHarness.h>

#include <chrono>

using Steering::Action;
using Steering::CandidateGroup;
using Steering::PacketKind;
using Steering::Reason;

namespace {

constexpr uint32_t kCaller = 0x64400001;

Steering::FlowKey
FlowOf(uint16_t aCallerPort)
{
  return { { kCaller, aCallerPort },
           { SteeringFixture::kServiceAddress, SteeringFixture::kServicePort } };
}

const Steering::CandidateExplanation&
CandidateOf(const Steering::Explanation& aExplanation, uint64_t aUpstream)
{
  for (const Steering::ServiceExplanation& service : aExplanation.mServices) {
    for (const Steering::CandidateExplanation& candidate : service.mCandidates) {
      if (candidate.mUpstream.mId.mValue == aUpstream) {
        return candidate;
      }
    }
  }
  FAIL("the upstream is not among the candidates");
  return aExplanation.mServices.front().mCandidates.front();
}

} // namespace

TEST_GROUP(Explanation), EvacuationsFixture{
  Steering::Explanation Explain(uint16_t aCallerPort)
    const { return Steering::Explain(mState, mSettings, FlowOf(aCallerPort), mNow);
}
/// Answers of control instances after which the directory counts as complete.
void
CompleteDirectory()
{
  PassTime(std::chrono::seconds(6));
  Declare(2);
}
}
;

// Guards against an explanation that differs from what happens to the next packet, for example
// because it uses other rules or random numbers.
TEST(Explanation, NamesTheUpstreamOfTheNextPacket)
{
  mSlots = 3;
  Declare(1);
  for (uint64_t id = 1; id <= 6; ++id) {
    AddUpstream(id, id <= 4 ? "a" : "b");
  }
  int forwarded = 0;
  for (uint16_t port = 1; port <= 100; ++port) {
    const Steering::Decision explained = Explain(port).mDecision;
    const Steering::Decision decision = Send(port, PacketKind::Opening);
    CHECK_TRUE(explained.mAction == decision.mAction && explained.mReason == decision.mReason);
    CHECK_TRUE(explained.mTag == decision.mTag);
    forwarded += decision.mAction == Action::Forward ? 1 : 0;
  }
  CHECK_TRUE(forwarded > 10 && forwarded < 100);
}

// Guards against an explanation that takes part in the decisions: an instance that explains each
// packet must decide like one that does not.
TEST(Explanation, ChangesNothing)
{
  mSlots = 3;
  Declare(1);
  for (uint64_t id = 1; id <= 4; ++id) {
    AddUpstream(id, "a");
  }
  Steering::State other = mState;
  for (uint16_t port = 1; port <= 60; ++port) {
    Explain(port);
    CHECK_EQUAL(other.mRandom.mState, mState.mRandom.mState);
    const Steering::Decision decision = Send(port, PacketKind::Opening);
    std::swap(mState, other);
    const Steering::Decision same = Send(port, PacketKind::Opening);
    std::swap(mState, other);
    CHECK_TRUE(decision.mTag == same.mTag && decision.mReason == same.mReason);
    mNow += std::chrono::milliseconds(3);
  }
  LONGS_EQUAL(other.mFlows.mFlows.size(), mState.mFlows.mFlows.size());
  LONGS_EQUAL(other.mOpeningsByService.size(), mState.mOpeningsByService.size());
  for (const auto& [tag, load] : other.mLoads.mByTag) {
    LONGS_EQUAL(load.mOwnFlows, Steering::LoadOf(mState.mLoads, tag).mOwnFlows);
  }
  LONGS_EQUAL(other.mLoads.mByTag.size(), mState.mLoads.mByTag.size());
}

// Guards against an outcome that is reported as another one.
TEST(Explanation, TellsWhyAFlowIsNotForwarded)
{
  CHECK_TRUE(Explain(1).mDecision.mReason == Reason::NotStarted);
  CHECK_TRUE(Explain(1).mDecision.mAction == Action::Hold);
  CHECK_FALSE(Explain(1).mIsReady);
  Declare(1, false);
  CHECK_TRUE(Explain(1).mDecision.mReason == Reason::NoRoute);
  CHECK_TRUE(Explain(1).mDecision.mAction == Action::Reset);
  CHECK_FALSE(Explain(1).mRoute.has_value());
  Declare(2);
  CHECK_TRUE(Explain(1).mDecision.mReason == Reason::NoUpstream);
  CHECK_TRUE(Explain(1).mDecision.mAction == Action::Hold);
  CHECK_TRUE(Explain(1).mRoute.has_value());
  CompleteDirectory();
  CHECK_TRUE(Explain(1).mDecision.mReason == Reason::NoUpstream);
  CHECK_TRUE(Explain(1).mDecision.mAction == Action::Reset);
}

// Guards against flows without room that are reported as forwarded, and against limits that do not
// show why.
TEST(Explanation, TellsThatThereIsNoRoom)
{
  mSlots = 1;
  Declare(1);
  AddLiveUpstream(1, "a");
  OpenUntilFull(100);
  const Steering::Explanation saturated = Explain(200);
  CHECK_TRUE(saturated.mDecision.mAction == Action::Hold);
  CHECK_TRUE(saturated.mDecision.mReason == Reason::Saturated);
  LONGS_EQUAL(0, saturated.mForwardedDraws);
  const std::optional<Steering::RoomExplanation>& room = saturated.mServices.at(0).mRoom;
  CHECK_TRUE(room.has_value());
  CHECK_TRUE(room->mOwnFlows >= room->mOwnLimit && room->mOwnLimit > 0);
  LONGS_EQUAL(room->mOwnFlows, CandidateOf(saturated, 1).mLoad.mOwnFlows);
  // Requests that take long let the turn of a held flow come after its caller has given up.
  mState.mRequests["desk"].mMeanDuration = std::chrono::seconds(20);
  for (uint16_t port = 300; Send(port, PacketKind::Opening).mReason == Reason::Saturated; ++port) {
  }
  const Steering::Explanation overloaded = Explain(200);
  CHECK_TRUE(overloaded.mDecision.mAction == Action::Reset);
  CHECK_TRUE(overloaded.mDecision.mReason == Reason::Overloaded);
}

// Guards against candidates in the wrong group, and against draws that go to other candidates than
// flows do.
TEST(Explanation, ListsTheCandidatesByGroup)
{
  mSlots = kManySlots;
  Declare(1);
  for (uint64_t id = 1; id <= 5; ++id) {
    AddUpstream(id,
                id <= 3   ? "a"
                : id == 4 ? "b"
                          : "c",
                id == 3 ? lw::fleet::DRAINING : lw::fleet::READY);
  }
  Suspend(2);
  Evacuate(1, { "c" });
  const Steering::Explanation explanation = Explain(1);
  CHECK_TRUE(CandidateOf(explanation, 1).mGroup == CandidateGroup::Healthy);
  CHECK_TRUE(CandidateOf(explanation, 2).mGroup == CandidateGroup::Unresponsive);
  CHECK_TRUE(CandidateOf(explanation, 2).mIsSuspended);
  CHECK_TRUE(CandidateOf(explanation, 3).mGroup == CandidateGroup::Excluded);
  CHECK_TRUE(CandidateOf(explanation, 4).mGroup == CandidateGroup::Healthy);
  CHECK_TRUE(CandidateOf(explanation, 5).mGroup == CandidateGroup::Excluded);
  CHECK_TRUE(*CandidateOf(explanation, 1).mCost < *CandidateOf(explanation, 4).mCost);
  LONGS_EQUAL(Steering::kExplainedDraws, explanation.mForwardedDraws);
  LONGS_EQUAL(Steering::kExplainedDraws, CandidateOf(explanation, 1).mDraws);
  const Steering::RoomExplanation& room = *explanation.mServices.at(0).mRoom;
  LONGS_EQUAL(0, room.mRemoteFlows);
  LONGS_EQUAL(kManySlots / 2, room.mRemoteLimit);
  const std::vector<Steering::ZoneExplanation>& zones = explanation.mServices.at(0).mZones;
  LONGS_EQUAL(3, zones.size());
  CHECK_TRUE(zones[0].mIsOwn && !zones[1].mIsOwn);
  CHECK_TRUE(zones[2].mIsEvacuated && !zones[1].mIsEvacuated);
  Evacuate(2, {});
  const Steering::Explanation readmitted = Explain(1);
  CHECK_TRUE(readmitted.mServices.at(0).mZones.at(2).mShareOfNewFlows < 0.5);
  CHECK_TRUE(CandidateOf(readmitted, 5).mGroup == CandidateGroup::Healthy);
}

// Guards against draws that ignore the weights of the route's services, and against services of
// weight 0 that are shown although they get no flows.
TEST(Explanation, DrawsAmongTheServicesOfTheRoute)
{
  Declare(1);
  AddUpstream(1, "a");
  Steering::Route& route = mState.mRoutes.mRoutes[FlowOf(1).mService];
  route.mServices = { { "desk", 1 }, { "off", 0 }, { "empty", 1 } };
  const Steering::Explanation explanation = Explain(1);
  LONGS_EQUAL(2, explanation.mServices.size());
  STRCMP_EQUAL("empty", explanation.mServices.at(1).mService.mService.c_str());
  CHECK_FALSE(explanation.mServices.at(1).mRoom.has_value());
  const size_t draws = CandidateOf(explanation, 1).mDraws;
  CHECK_TRUE(draws > 30 && draws < 70);
  LONGS_EQUAL(draws, explanation.mForwardedDraws);
}

// Guards against an expired lease that can't be told from missing answers.
TEST(Explanation, TellsThatALeaseHasExpired)
{
  Declare(1);
  AddUpstream(1, "a");
  CHECK_FALSE(CandidateOf(Explain(1), 1).mLeaseExpired);
  mNow += std::chrono::seconds(6);
  const Steering::Explanation explanation = Explain(1);
  CHECK_TRUE(CandidateOf(explanation, 1).mLeaseExpired);
  CHECK_TRUE(CandidateOf(explanation, 1).mGroup == CandidateGroup::Unresponsive);
  CHECK_TRUE(explanation.mDecision.mAction == Action::Forward);
}

// Guards against a cold upstream that is shown as healthy although this instance may not send to
// it.
TEST(Explanation, ShowsColdLimitedUpstreams)
{
  mSlots = kManySlots;
  Declare(1);
  AddUpstream(1, "a");
  AddUpstream(2, "a");
  mState.mColdStarts.mRates["desk"] = 2;
  mState.mDirectory.mByTag.at(Tag(2)).mUpstream.mColdUntil = mNow + std::chrono::seconds(5);
  const Steering::Explanation explanation = Explain(1);
  const Steering::CandidateExplanation& cold = CandidateOf(explanation, 2);
  CHECK_TRUE(cold.mGroup == CandidateGroup::ColdLimited && cold.mIsCold);
  DOUBLES_EQUAL(2, cold.mColdLimit.value_or(0), 0);
  LONGS_EQUAL(0, cold.mDraws);
  CHECK_FALSE(CandidateOf(explanation, 1).mIsCold);
}

// Guards against a known flow that is explained as an unknown one: its packets stay at its
// upstream, and a copy of its opening packet goes to another one.
TEST(Explanation, TellsWhereAKnownFlowGoes)
{
  mSlots = kManySlots;
  Declare(1);
  AddUpstream(1, "a");
  AddUpstream(2, "a");
  CHECK_FALSE(Explain(7).mKnown.mHasRecord);
  const Steering::Decision first = Send(7, PacketKind::Opening);
  const Steering::Explanation sent = Explain(7);
  CHECK_TRUE(sent.mKnown.mHasRecord && !sent.mKnown.mIsConfirmed);
  CHECK_TRUE(sent.mDecision.mReason == Reason::RepeatedOpening);
  CHECK_FALSE(sent.mDecision.mTag == first.mTag);
  CHECK_TRUE(CandidateOf(sent, first.mUpstream.mValue).mGroup == CandidateGroup::AlreadyTried);
  Send(7, PacketKind::MidFlow, first.mTag, true);
  const Steering::Explanation open = Explain(7);
  CHECK_TRUE(open.mKnown.mIsConfirmed);
  CHECK_TRUE(open.mKnown.mTag == first.mTag);
  CHECK_TRUE(open.mKnown.mUpstream->mId == first.mUpstream);
  CHECK_TRUE(open.mDecision.mReason == Reason::NewFlow);
}

// Guards against a pinned flow without a record that is explained as an unknown one.
TEST(Explanation, TellsWhereAPinnedFlowGoes)
{
  Declare(1);
  AddUpstream(1, "a");
  constexpr uint32_t kSequence = 77;
  Steering::PinFlow(mState.mPins, FlowOf(7), kSequence, Tag(1), mNow);
  const Steering::KnownFlow known = Explain(7).mKnown;
  CHECK_FALSE(known.mHasRecord);
  CHECK_TRUE(known.mPinnedTag == Tag(1));
  CHECK_TRUE(known.mTag == Tag(1));
}

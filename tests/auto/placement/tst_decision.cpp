#include "placement/decision.h"
#include "placement/handover.h"

#include <CppUTest/TestHarness.h>

using namespace std::chrono_literals;
using Placement::Decision;
using Placement::DropReason;
using Placement::Packet;
using Placement::Verdict;

namespace {

const Base::ServiceGeneration kGeneration(7);
const Base::Endpoint kOld{ 101, 1 };
const Base::Endpoint kNew{ 102, 1 };
constexpr uint16_t kSlot = 3;

} // namespace

// A single instance, which owns all slots. A change that moves kSlot from kOld to kNew is prepared.
TEST_GROUP(Decision)
{
  Base::TimePoint mNow{ 1000s };
  Placement::Settings mSettings;
  Membership::View mView;
  Placement::Upstreams mUpstreams;
  std::shared_ptr<Placement::SlotTable> mTable = std::make_shared<Placement::SlotTable>();
  Placement::Shard mShard{ 0, 1, {}, Placement::FlowTable(4), Placement::FlowTable(4) };

  void setup() override
  {
    mView.mSelf = Base::InstanceId(1);
    AddMember(1);
    for (const Base::Endpoint& endpoint : { kOld, kNew }) {
      mUpstreams.push_back({ endpoint, 3, mNow - 100s, mNow + 1000s, false, {} });
    }
    mTable->mGeneration = kGeneration;
    mTable->mVersion = { Placement::MakeEpoch(0, Base::InstanceId(1)), 1 };
    mTable->mUpstreams = { kOld, kNew };
    for (Placement::Slot& slot : mTable->mSlots) {
      slot.mCurrent = 0;
    }
    Update();
    Placement::PreparedChange change;
    change.mVersion = { mTable->mVersion.mEpoch, 2 };
    change.mSlots[kSlot].mTarget = 1;
    Placement::Prepare(*mTable, change);
    Update();
  }

  void AddMember(uint32_t aId)
  {
    Membership::Member member;
    member.mId = Base::InstanceId(aId);
    mView.mMembers.push_back(member);
  }

  void Update()
  {
    Placement::UpdateService(mShard, mTable, mUpstreams, mSettings, mView, true, mNow);
  }

  void ActivateChange()
  {
    Placement::Activate(*mTable);
    Update();
  }

  Decision Decide(uint32_t aCaller, bool aIsOpening)
  {
    Packet packet;
    packet.mFlow = { kGeneration, { aCaller, 1 } };
    packet.mSlot = kSlot;
    packet.mIsOpening = aIsOpening;
    return Placement::DecidePacket(mShard, packet, mView, mNow);
  }
};

// Guards against flows whose handshake is split between two upstreams by the activation of a
// change.
TEST(Decision, KeepsAFlowThatOpenedWhileTheChangeWasPrepared)
{
  CHECK_TRUE(Decide(1, true).mUpstream == kOld);
  ActivateChange();
  CHECK_TRUE(Decide(1, true).mUpstream == kOld);
  CHECK_TRUE(Decide(2, true).mUpstream == kNew);
  CHECK_TRUE(Decide(2, false).mUpstream == kNew);
  CHECK_TRUE(Decide(3, false).mUpstream == kOld);
}

// Guards against flows from before the change that are placed as new ones because their packets
// have no opening mark.
TEST(Decision, DistinguishesOldFlowsFromNewOnesWithoutMark)
{
  mSettings.mHasOpeningMark = false;
  Update();
  CHECK_TRUE(Decide(1, false).mUpstream == kOld);
  ActivateChange();
  CHECK_TRUE(Decide(1, false).mUpstream == kOld);
  CHECK_TRUE(Decide(2, false).mUpstream == kNew);
}

// Guards against packets to an upstream whose lease has expired by the instance's clock.
TEST(Decision, SendsNothingAfterTheLease)
{
  ActivateChange();
  Decide(1, true);
  mUpstreams[1].mLeaseEnd = mNow;
  Update();
  const Decision decision = Decide(1, false);
  CHECK_TRUE(decision.mVerdict == Verdict::Drop);
  CHECK_TRUE(decision.mReason == DropReason::UpstreamGone);
  mUpstreams[0].mLeaseEnd = mNow;
  Update();
  CHECK_TRUE(Decide(2, true).mReason == DropReason::NoUpstream);
}

// Guards against new flows at a draining upstream if no publisher moves its slots, including new
// flows of a caller that reuses its port.
TEST(Decision, PlacesNewFlowsElsewhereAfterTheDrainGrace)
{
  CHECK_TRUE(Decide(1, true).mUpstream == kOld);
  mUpstreams[0].mDraining = true;
  mUpstreams[0].mDrainingSince = mNow;
  Update();
  CHECK_TRUE(Decide(2, true).mUpstream == kOld);
  mNow += mSettings.mDrainGrace;
  Update();
  CHECK_TRUE(Decide(3, true).mUpstream == kNew);
  CHECK_TRUE(Decide(3, false).mUpstream == kNew);
  CHECK_TRUE(Decide(1, false).mUpstream == kOld);
  CHECK_TRUE(Decide(1, true).mUpstream == kNew);
}

// Guards against a full record table that rejects new flows or does not report evictions.
TEST(Decision, EvictsTheLongestIdleFlowWhenFull)
{
  ActivateChange();
  for (uint32_t caller = 1; caller <= 4; ++caller) {
    CHECK_FALSE(Decide(caller, true).mHasEvicted);
  }
  Decide(1, false);
  const Decision fifth = Decide(5, true);
  CHECK_TRUE(fifth.mHasEvicted);
  CHECK_TRUE(fifth.mUpstream == kNew);
  CHECK_TRUE(Decide(1, false).mUpstream == kNew);
  CHECK_TRUE(Decide(2, false).mUpstream == kOld); // Evicted, so the default applies.
}

// Guards against a new owner that places flows by default before the previous owner's records
// arrive, and against two instances that both act as owner.
TEST(Decision, WaitsForTheRecordsOfThePreviousOwner)
{
  ActivateChange();
  Decide(1, true);
  Placement::Shard next{ 0, 1, {}, Placement::FlowTable(4), Placement::FlowTable(4) };
  Membership::View nextView = mView;
  nextView.mSelf = Base::InstanceId(2);
  AddMember(2);
  nextView.mMembers = mView.mMembers;
  mView.mMembers[0].mState = Membership::MemberState::Leaving;
  nextView.mMembers[0].mState = Membership::MemberState::Leaving;
  Update();
  Placement::UpdateService(next, mTable, mUpstreams, mSettings, nextView, false, mNow);
  Packet packet;
  packet.mFlow = { kGeneration, { 1, 1 } };
  packet.mSlot = kSlot;
  CHECK_TRUE(Placement::DecidePacket(next, packet, nextView, mNow).mVerdict == Verdict::Hold);

  const auto requests = Placement::TickShard(next, nextView, mNow);
  LONGS_EQUAL(1, requests.size());
  const auto records =
    Placement::HandleShardMessage(mShard, nextView.mSelf, requests.front().mMessage, mView, mNow);
  const Decision afterwards = Decide(9, true);
  CHECK_TRUE(afterwards.mVerdict == Verdict::ForwardToMember);
  CHECK_TRUE(afterwards.mMember == nextView.mSelf);
  Placement::HandleShardMessage(next, mView.mSelf, records->front().mMessage, nextView, mNow)
    .IgnoreError();
  CHECK_TRUE(Placement::DecidePacket(next, packet, nextView, mNow).mUpstream == kNew);
}

// Guards against packets that are dropped while a newly started instance waits for its table.
TEST(Decision, HoldsPacketsUntilTheTableArrives)
{
  mShard.mServices.clear();
  CHECK_TRUE(Decide(1, false).mVerdict == Verdict::Hold);
  AddMember(2);
  CHECK_TRUE(Decide(1, false).mVerdict == Verdict::ForwardToMember);
  Packet forwarded;
  forwarded.mFlow = { kGeneration, { 1, 1 } };
  forwarded.mSlot = kSlot;
  forwarded.mHops = 1;
  CHECK_TRUE(Placement::DecidePacket(mShard, forwarded, mView, mNow).mVerdict == Verdict::Hold);
  Update();
  CHECK_TRUE(Placement::DecidePacket(mShard, forwarded, mView, mNow).mVerdict != Verdict::Drop);
}

// Guards against forwarding loops between instances whose views differ.
TEST(Decision, DropsPacketsThatWereForwardedTooOften)
{
  AddMember(2);
  mView.mMembers[0].mState = Membership::MemberState::Leaving;
  mShard.mServices.clear();
  Update();
  Packet packet;
  packet.mFlow = { kGeneration, { 1, 1 } };
  packet.mSlot = kSlot;
  packet.mHops = Placement::kMaxHops;
  CHECK_TRUE(Placement::DecidePacket(mShard, packet, mView, mNow).mReason ==
             DropReason::TooManyHops);
}

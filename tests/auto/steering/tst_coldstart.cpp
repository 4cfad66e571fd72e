#include "coldzone.h"
#include "fixture.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

using std::chrono::milliseconds;
using std::chrono::seconds;
using Steering::Action;
using Steering::PacketKind;
using Steering::Reason;

namespace {

constexpr uint32_t kColdMs = 60000;
/// Longer than a new holder waits.
constexpr seconds kHandover{ 4 };

struct ColdStartFixture : SteeringFixture
{
  ColdStartFixture()
  {
    mSlots = 1000;
    mState.mPins.mSelf = 1;
    mState.mColdStarts.mListed = { 1 };
  }

  /// Declares the routes and, if it is not 0, a rate limit of cold upstreams.
  void DeclareRate(uint64_t aVersion, double aRate)
  {
    lw::fleet::PollReply reply;
    reply.set_connected(true);
    lw::fleet::RouteUpdate* update = reply.mutable_routes();
    update->set_version(aVersion);
    lw::config::Route* route = update->add_routes();
    route->set_address(kServiceAddress);
    route->set_port(kServicePort);
    lw::config::WeightedService* target = route->add_services();
    target->set_service("desk");
    target->set_weight(1);
    lw::config::ColdStart* coldStart = update->add_cold_starts();
    coldStart->set_service("desk");
    coldStart->set_requests_per_second(aRate);
    Steering::ApplyPollReply(mState, Base::InstanceId(1), reply, mNow);
  }

  void AddCold(uint64_t aId, const std::string& aZone, uint32_t aColdMs = kColdMs)
  {
    AddUpstream(aId, aZone);
    mState.mDirectory.mByTag[Tag(aId)].mUpstream.mColdUntil = mNow + milliseconds(aColdMs);
  }

  void Report(uint32_t aPeer)
  {
    lw::fleet::LoadReport report;
    report.set_instance(aPeer);
    report.set_sequence(++mSequence);
    Steering::ApplyPeerReport(mState, report, mNow);
  }

  /// Lets the time pass with updates every 100 ms, as in the entry node.
  void Pass(Base::Duration aDuration)
  {
    const Base::TimePoint end = mNow + aDuration;
    while (mNow < end) {
      mNow += milliseconds(100);
      for (auto& [tag, upstream] : mState.mDirectory.mByTag) {
        upstream.mLastAnnouncedAt = mNow;
      }
      for (const uint32_t peer : mLivePeers) {
        Report(peer);
      }
      Steering::Expire(mState, mNow);
      Steering::UpdateColdStarts(mState, mSettings, mNow);
    }
  }

  /// Opens flows at this moment. Discards the packets that are held, so that they don't delay later
  /// ones.
  /// \return the number of flows that were forwarded.
  int Forwarded(int aFlows = 20)
  {
    int count = 0;
    mState.mOpeningsByService.clear();
    for (int i = 0; i < aFlows; ++i) {
      count += SendOpening(mNextPort++, milliseconds(0)).mAction == Action::Forward ? 1 : 0;
    }
    return count;
  }

  uint16_t mNextPort = 1;
  uint64_t mSequence = 0;
  std::vector<uint32_t> mLivePeers;
};

} // namespace

TEST_GROUP(ColdStart), ColdStartFixture{};

// Guards against a wait that no duration can hold, which would let a packet be held for ever.
TEST(ColdStart, VeryLowRateRefusesWhatItCanNotServe)
{
  DeclareRate(1, 1e-9);
  AddCold(1, "a");
  Pass(milliseconds(100));
  CHECK_TRUE(Send(1, PacketKind::Opening).mAction == Action::Hold);
  Steering::HeldUpstream& held = mState.mColdStarts.mHeld.begin()->second;
  held.mSendsFrom = mNow;
  held.mSent.push_back(mNow);
  CHECK_TRUE(Send(2, PacketKind::Opening).mAction == Action::Reset);
}

// Guards against an upstream that starts in a steady zone and gets no flows until it is not cold
// any more, because its holder waits for a previous one that did not exist.
TEST(ColdStart, NewUpstreamIsUsedAtOnceInASteadyZone)
{
  DeclareRate(1, 5);
  Pass(kHandover);
  AddCold(1, "a");
  Pass(milliseconds(100));
  CHECK_TRUE(Send(1, PacketKind::Opening).mAction == Action::Forward);
}

// Guards against a holder of a new upstream that sends at once although another instance may have
// been the holder a moment ago.
TEST(ColdStart, NewUpstreamWaitsIfAnInstanceWasJustLost)
{
  DeclareRate(1, 5);
  Report(2);
  Pass(kHandover);
  Report(2);
  // The report of instance 2 expires after 1 s, so the zone has not been stable for long.
  Pass(milliseconds(1500));
  AddCold(1, "a");
  Pass(milliseconds(100));
  CHECK_TRUE(Send(1, PacketKind::Opening).mAction == Action::Hold);
}

// Guards against a new holder that sends while the flows of the previous one are in the window.
TEST(ColdStart, NewHolderWaits)
{
  DeclareRate(1, 5);
  AddCold(1, "a");
  Pass(milliseconds(3000));
  LONGS_EQUAL(0, Forwarded());
  Pass(milliseconds(200));
  LONGS_EQUAL(5, Forwarded());
}

// Guards against more flows than the limit in a window that is not aligned to the second.
TEST(ColdStart, WindowSlides)
{
  DeclareRate(1, 2.9);
  AddCold(1, "a");
  Pass(kHandover);
  LONGS_EQUAL(1, Forwarded(1));
  Pass(milliseconds(700));
  LONGS_EQUAL(1, Forwarded());
  Pass(milliseconds(300));
  LONGS_EQUAL(0, Forwarded());
  Pass(milliseconds(100));
  LONGS_EQUAL(1, Forwarded());
}

// Guards against a rate below 1/s that is rounded to no flows at all or to one per second.
TEST(ColdStart, LowRateExtendsTheWindow)
{
  DeclareRate(1, 0.5);
  AddCold(1, "a");
  // The wait of a new holder includes the longer window.
  Pass(milliseconds(4000));
  LONGS_EQUAL(0, Forwarded());
  Pass(milliseconds(200));
  LONGS_EQUAL(1, Forwarded());
  Pass(milliseconds(1900));
  LONGS_EQUAL(0, Forwarded());
  Pass(milliseconds(200));
  LONGS_EQUAL(1, Forwarded());
}

// Guards against copies of opening packets that exceed the rate limit.
TEST(ColdStart, CopiesCount)
{
  DeclareRate(1, 3);
  AddCold(1, "a");
  Pass(kHandover);
  CHECK_TRUE(SendOpening(1, milliseconds(0)).mAction == Action::Forward);
  CHECK_TRUE(SendOpening(1, milliseconds(0)).mAction == Action::Forward);
  const Steering::Decision third = SendOpening(1, milliseconds(0));
  CHECK_TRUE(third.mAction == Action::Forward);
  Send(1, PacketKind::MidFlow, third.mTag, true);
  CHECK_TRUE(SendOpening(1, milliseconds(0)).mAction == Action::Drop);
  CHECK_TRUE(SendOpening(2, milliseconds(0)).mAction == Action::Hold);
}

// Guards against a flow that is refused as if its service had no upstream, and against held packets
// that are not sent when the window allows it.
TEST(ColdStart, ServiceWithOnlyLimitedUpstreamsIsSaturated)
{
  DeclareRate(1, 2);
  AddCold(1, "a");
  mNow += mSettings.mLease * 2;
  const Steering::Decision first = SendOpening(1000, milliseconds(0));
  CHECK_TRUE(first.mAction == Action::Hold);
  CHECK_TRUE(first.mReason == Reason::Saturated);
  LONGS_EQUAL(1, first.mColdLimited);
  Pass(kHandover);
  LONGS_EQUAL(2, Forwarded(3));
  Pass(milliseconds(500));
  CHECK_TRUE(Steering::ReleaseOpenings(mState, mSettings, mNow).empty());
  Pass(milliseconds(600));
  LONGS_EQUAL(1, Steering::ReleaseOpenings(mState, mSettings, mNow).size());
}

// Guards against callers that wait for a turn that comes after the end of their attempt.
TEST(ColdStart, FlowsBeyondTheRateAreRefused)
{
  DeclareRate(1, 2);
  AddCold(1, "a");
  Pass(kHandover);
  LONGS_EQUAL(2, Forwarded(2));
  Steering::Decision decision;
  for (int i = 0; i < 10; ++i) {
    decision = SendOpening(mNextPort++, milliseconds(0));
  }
  CHECK_TRUE(decision.mAction == Action::Reset);
  CHECK_TRUE(decision.mReason == Reason::Overloaded);
}

// Guards against flows to a limited cold upstream of another zone, and against flows that wait for
// a cold upstream while a warm one can take them.
TEST(ColdStart, RemoteColdUpstreamIsLeftOut)
{
  DeclareRate(1, 5);
  AddCold(1, "b");
  Pass(kHandover);
  LONGS_EQUAL(0, Forwarded());
  AddUpstream(2, "b");
  mState.mOpeningsByService.clear();
  LONGS_EQUAL(2, SendOpening(1001, milliseconds(0)).mUpstream.mValue);
}

// Guards against a limit where none is specified.
TEST(ColdStart, NoRateMeansNoLimit)
{
  DeclareRate(1, 0);
  AddCold(1, "a");
  AddCold(2, "b");
  LONGS_EQUAL(20, Forwarded());
  Pass(milliseconds(100));
  CHECK_TRUE(mState.mColdStarts.mHeld.empty());
}

// Guards against a limit, or state, that remains when the upstream is warm, leaves, or the rate
// limit is removed from the configuration.
TEST(ColdStart, StateEndsWithTheColdStart)
{
  DeclareRate(1, 2);
  AddCold(1, "a", 5000);
  AddCold(2, "a", kColdMs);
  Pass(kHandover);
  LONGS_EQUAL(2, mState.mColdStarts.mHeld.size());
  LONGS_EQUAL(4, Forwarded(4));
  Pass(milliseconds(1100));
  LONGS_EQUAL(1, mState.mColdStarts.mHeld.size());
  AddUpstream(2, "a", lw::fleet::DRAINING);
  Pass(milliseconds(100));
  LONGS_EQUAL(0, mState.mColdStarts.mHeld.size());
  LONGS_EQUAL(20, Forwarded());
}

// Guards against unbounded memory for a high rate limit.
TEST(ColdStart, RecordedTimesAreBounded)
{
  DeclareRate(1, 1e300);
  AddCold(1, "a");
  Pass(kHandover);
  const Directory::MergedUpstream* upstream = Directory::Find(mState.mDirectory, Tag(1));
  for (size_t i = 0; i < 2 * Steering::kMaxFlowsPerWindow; ++i) {
    Steering::RecordOpening(mState.mColdStarts, *upstream, mNow);
  }
  LONGS_EQUAL(Steering::kMaxFlowsPerWindow, mState.mColdStarts.mHeld[Tag(1)].mSent.size());
  CHECK_FALSE(Steering::AllowsOpening(mState.mColdStarts, *upstream, mNow));
}

// Guards against an instance that was cut off and, when it hears its peers again, sends at once
// because it considered itself the holder all the time.
TEST(ColdStart, WithoutAMajorityNothingIsHeld)
{
  DeclareRate(1, 5);
  AddCold(1, "a");
  mState.mColdStarts.mListed = { 1, 2, 3, 4 };
  Pass(kHandover);
  LONGS_EQUAL(0, Forwarded());
  CHECK_TRUE(mState.mColdStarts.mHeld.empty());
  mState.mColdStarts.mListed = { 1 };
  Pass(milliseconds(100));
  LONGS_EQUAL(0, Forwarded());
  Pass(kHandover);
  LONGS_EQUAL(5, Forwarded());
}

// Guards against an instance that was frozen, and sends on its old view before it reads the reports
// of the instance that took over, or right after it has read them.
TEST(ColdStart, FrozenHolderWaitsAgain)
{
  DeclareRate(1, 5);
  AddCold(1, "a");
  Pass(kHandover);
  mNow += milliseconds(1100);
  LONGS_EQUAL(0, Forwarded());
  Pass(milliseconds(3000));
  LONGS_EQUAL(0, Forwarded());
  Pass(milliseconds(200));
  LONGS_EQUAL(5, Forwarded());
}

// Guards against a holder that counts the support of peers that do not hear it, or that hear an
// instance which they prefer.
TEST(ColdStart, PeersSupportOnlyThePreferredInstanceThatTheyHear)
{
  const std::vector<uint32_t> listed{ 1, 2, 3, 4, 5 };
  const Directory::RouteTag tag(7);
  Steering::HolderView full;
  full.mLivePeers = { { 1, {} }, { 2, {} }, { 3, {} }, { 4, {} }, { 5, {} } };
  for (const uint32_t self : listed) {
    Steering::HolderView view = full;
    view.mSelf = self;
    view.mLivePeers.erase(view.mLivePeers.begin() + self - 1);
    CHECK_EQUAL(Steering::IsHolder(view, tag), Steering::HasMajority(listed, view, tag));
    if (!Steering::IsHolder(view, tag)) {
      continue;
    }
    view.mLivePeers[0].mNotReceivedFrom = { self };
    view.mLivePeers[1].mNotReceivedFrom = { self };
    CHECK_TRUE(Steering::HasMajority(listed, view, tag));
    view.mLivePeers[2].mNotReceivedFrom = { self };
    CHECK_FALSE(Steering::HasMajority(listed, view, tag));
    view.mLivePeers = { { full.mLivePeers[self % 5].mInstance, {} },
                        { full.mLivePeers[(self + 1) % 5].mInstance, {} } };
    CHECK_TRUE(Steering::HasMajority(listed, view, tag));
    view.mLivePeers.pop_back();
    CHECK_FALSE(Steering::HasMajority(listed, view, tag));
  }
}

// Guards against instances that disagree on the holder although they see the same peers, and
// against one holder for all upstreams of a zone.
TEST(ColdStart, HoldersAreSpread)
{
  std::vector<int> held(ColdZone::kInstancesPerZone);
  for (uint32_t tag = 1; tag <= 100; ++tag) {
    int holders = 0;
    for (uint32_t self = 0; self < held.size(); ++self) {
      Steering::HolderView view;
      view.mSelf = self;
      for (uint32_t peer = 0; peer < held.size(); ++peer) {
        if (peer != self) {
          view.mLivePeers.push_back({ peer, {} });
        }
      }
      if (Steering::IsHolder(view, Directory::RouteTag(tag))) {
        ++holders;
        ++held[self];
      }
    }
    LONGS_EQUAL(1, holders);
  }
  CHECK_TRUE(*std::max_element(held.begin(), held.end()) <= 10);
}

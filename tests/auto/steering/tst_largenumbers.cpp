#include "evacuationsfixture.h"

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

using std::chrono::seconds;

namespace {

constexpr uint32_t kFlows = 20;

} // namespace

TEST_GROUP(LargeNumbers), EvacuationsFixture{};

// Guards against sums of slots that exceed 32 bits, so that a zone with many slots has no room,
// whether the upstreams are local or remote.
TEST(LargeNumbers, ManySlotsInAZone)
{
  Declare(1);
  for (const char* zone : { "a", "b" }) {
    mState.mDirectory = {};
    mSlots = UINT32_C(1) << 31;
    AddUpstream(1, zone);
    AddUpstream(2, zone);
    LONGS_EQUAL(kFlows, OpenUntilFull(kFlows));
  }
}

// Guards against a limit on the flows of an instance that exceeds 32 bits and becomes small, while
// its peers use all slots.
TEST(LargeNumbers, LimitOfAnInstance)
{
  Declare(1);
  // 3 flows for each of these slots are 2^32 + 2 flows.
  mSlots = 0x55555556;
  AddUpstream(1, "a");
  ReportPeerFlows(1, mSlots);
  LONGS_EQUAL(kFlows, OpenUntilFull(kFlows));
}

// Guards against a limit on the flows of a zone that exceeds 32 bits and becomes small, so that
// opening packets are refused because their turn seems to be too late.
TEST(LargeNumbers, LimitOfAZone)
{
  mSlots = 0x55555556;
  AddUpstream(1, "a");
  const std::string service = "desk";
  const std::vector<Directory::RouteTag> tried;
  const Steering::ChoiceInput input{ mState.mDirectory,
                                     mState.mLoads,
                                     mState.mEvacuations,
                                     service,
                                     mSettings.mAvailabilityZone,
                                     tried,
                                     mSettings.mLease,
                                     mNow,
                                     1,
                                     false,
                                     nullptr,
                                     {},
                                     1 };
  CHECK_TRUE(Steering::ChooseUpstream(input, mState.mRandom).mZoneLimit >= mSlots);
}

// Guards against a share of remote slots that exceeds 64 bits before it is divided, so that a full
// zone doesn't use free slots of others.
TEST(LargeNumbers, ShareOfRemoteSlots)
{
  Declare(1);
  mState.mInstances = 2;
  mSlots = UINT32_MAX;
  AddUpstream(1, "a");
  AddUpstream(2, "b");
  ReportPeerFlows(1, UINT32_MAX);
  CHECK_TRUE(ShareOf(2, 100) > 0);
}

// Guards against a rate limit that is converted to 32 bits and becomes low or 0.
TEST(LargeNumbers, ColdStartRates)
{
  for (const double rate : { 4294967295.0, 4294967296.0, 4294967298.0 }) {
    Steering::ColdStarts coldStarts;
    lw::fleet::RouteUpdate update;
    update.add_cold_starts()->set_service("desk");
    update.mutable_cold_starts(0)->set_requests_per_second(rate);
    Steering::SetColdStartRates(coldStarts, update);
    Directory::MergedUpstream upstream;
    upstream.mUpstream.mService = "desk";
    upstream.mUpstream.mColdUntil = mNow + seconds(60);
    coldStarts.mHeld[upstream.mTag];
    coldStarts.mUpdatedAt = mNow;
    for (size_t i = 0; i < Steering::kMaxFlowsPerWindow; ++i) {
      CHECK_TRUE(Steering::AllowsOpening(coldStarts, upstream, mNow));
      Steering::RecordOpening(coldStarts, upstream, mNow);
    }
    CHECK_FALSE(Steering::AllowsOpening(coldStarts, upstream, mNow));
  }
}

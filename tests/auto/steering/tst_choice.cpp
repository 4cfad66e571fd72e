#include "fixture.h"

#include <CppUTest/TestHarness.h>

#include <chrono>
#include <map>

using std::chrono::milliseconds;
using std::chrono::seconds;
using Steering::PacketKind;

TEST_GROUP(Choice), SteeringFixture{
  std::map<uint64_t, int> Open(uint16_t aFirstPort, int aCount){ std::map<uint64_t, int> opened;
for (int i = 0; i < aCount; ++i) {
  const auto port = static_cast<uint16_t>(aFirstPort + i);
  ++opened[Send(port, PacketKind::Opening).mUpstream.mValue];
}
return opened;
}
}
;

// Guards against uneven load due to a choice that ignores the outstanding flows.
TEST(Choice, FlowsAreBalancedOverUpstreams)
{
  mSlots = 20;
  Declare(1);
  for (uint64_t id = 1; id <= 5; ++id) {
    AddUpstream(id, "a");
  }
  const auto opened = Open(1, 100);
  LONGS_EQUAL(5, opened.size());
  for (const auto& [id, count] : opened) {
    CHECK_TRUE(count >= 15 && count <= 25);
  }
}

// Guards against flows that cross availability zones although local upstreams are free, and against
// an overloaded zone that does not use idle upstreams of other zones.
TEST(Choice, RemoteZonesAreUsedOnlyUnderLoad)
{
  Declare(1);
  AddUpstream(1, "a");
  AddUpstream(2, "b");
  LONGS_EQUAL(0, Open(1, 2).count(2));
  CHECK_TRUE(Open(10, 10).count(2) != 0);
}

// Guards against a disconnected availability zone whose upstreams are suspended one by one, each
// after another delayed flow.
TEST(Choice, UnreachableZoneIsAvoidedAsAWhole)
{
  mSlots = 20;
  Declare(1);
  for (uint64_t id = 10; id < 20; ++id) {
    AddUpstream(id, "b");
  }
  Send(1, PacketKind::Opening);
  mNow += milliseconds(100);
  Steering::Expire(mState, mNow);
  AddUpstream(1, "a");
  const auto opened = Open(100, 30);
  LONGS_EQUAL(30, opened.at(1));
}

// Guards against flows that are refused although there are upstreams left to try, namely those with
// an expired lease or without answers.
TEST(Choice, UnresponsiveUpstreamsAreUsedAsLastResort)
{
  Declare(1);
  AddUpstream(1, "a");
  mNow += seconds(60);
  LONGS_EQUAL(1, Send(1, PacketKind::Opening).mUpstream.mValue);
  mNow += milliseconds(100);
  Steering::Expire(mState, mNow);
  LONGS_EQUAL(1, Send(2, PacketKind::Opening).mUpstream.mValue);
}

// Guards against a selection that does not follow the weights, or selects a service of weight 0.
TEST(Choice, ServicesAreSelectedByWeight)
{
  Steering::Route route;
  route.mServices = { { "x", 0 }, { "y", 9 }, { "z", 1 } };
  std::map<std::string, int> selected;
  for (int i = 0; i < 1000; ++i) {
    ++selected[Steering::SelectService(route, mState.mRandom)];
  }
  LONGS_EQUAL(0, selected["x"]);
  CHECK_TRUE(selected["y"] > 850 && selected["z"] > 50);
}

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

// Guards against uneven load: work in progress decides, not chance.
TEST(Choice, WorkSpreadsOverUpstreams)
{
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

// Guards against flows that cross availability zones without need, and against a busy availability
// zone whose flows wait while other upstreams are idle.
TEST(Choice, OtherZonesHelpOnlyWhenTheOwnIsBusy)
{
  Declare(1);
  AddUpstream(1, "a");
  AddUpstream(2, "b");
  LONGS_EQUAL(0, Open(1, 2).count(2));
  CHECK_TRUE(Open(10, 10).count(2) != 0);
}

// Guards against an availability zone that is found out upstream by upstream when it is cut off.
TEST(Choice, UnreachableZoneIsAvoidedAsAWhole)
{
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

// Guards against an instance without usable upstreams that could still try those it doubts.
TEST(Choice, DoubtfulUpstreamsAreBetterThanNone)
{
  Declare(1);
  AddUpstream(1, "a");
  mNow += seconds(60);
  LONGS_EQUAL(1, Send(1, PacketKind::Opening).mUpstream.mValue);
  mNow += milliseconds(100);
  Steering::Expire(mState, mNow);
  LONGS_EQUAL(1, Send(2, PacketKind::Opening).mUpstream.mValue);
}

// Guards against services that get flows although their weight is 0.
TEST(Choice, ServicesAreDrawnByWeight)
{
  Steering::Route route;
  route.mServices = { { "x", 0 }, { "y", 9 }, { "z", 1 } };
  std::map<std::string, int> drawn;
  for (int i = 0; i < 1000; ++i) {
    ++drawn[Steering::SelectService(route, mState.mRandom)];
  }
  LONGS_EQUAL(0, drawn["x"]);
  CHECK_TRUE(drawn["y"] > 850 && drawn["z"] > 50);
}

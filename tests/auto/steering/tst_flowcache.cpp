#include "fixture.h"

#include <CppUTest/TestHarness.h>

#include <chrono>

using std::chrono::milliseconds;
using std::chrono::seconds;
using Steering::PacketKind;
using Steering::Reason;

namespace {

constexpr uint16_t kCallerPort = 1;
constexpr milliseconds kCopyInterval{ 200 };
/// Longer than the record of an idle flow is kept, shorter than the idle timeout of flows.
constexpr seconds kPause{ 4 };
constexpr uint32_t kOpeningSequence = 1000;

Steering::FlowKey
FlowOf(uint32_t aNumber)
{
  return { { aNumber, kCallerPort },
           { SteeringFixture::kServiceAddress, SteeringFixture::kServicePort } };
}

/// Two entry instances that know the same upstreams and do not receive each other's reports.
struct FlowCacheFixture
{
  FlowCacheFixture()
  {
    for (SteeringFixture* entry : { &mFirst, &mSecond }) {
      entry->mSlots = 100;
      entry->Declare(1);
      entry->AddUpstream(1, "a");
      entry->AddUpstream(2, "a");
    }
  }

  void Advance(Base::Duration aTime)
  {
    const Base::TimePoint end = mFirst.mNow + aTime;
    while (mFirst.mNow < end) {
      mFirst.mNow += milliseconds(100);
      mSecond.mNow = mFirst.mNow;
      Steering::Expire(mFirst.mState, mFirst.mNow);
      Steering::Expire(mSecond.mState, mSecond.mNow);
    }
  }

  static Directory::RouteTag Send(SteeringFixture& aEntry, Directory::RouteTag aTag)
  {
    return aEntry.Send(kCallerPort, PacketKind::MidFlow, aTag, true).mTag;
  }

  SteeringFixture mFirst;
  SteeringFixture mSecond;
};

} // namespace

TEST_GROUP(FlowCache), FlowCacheFixture{};

// Guards against a flow whose opening packet and copy went through one instance and whose handshake
// went through another one: after a pause, the late answer's upstream would get its packets.
TEST(FlowCache, HandshakeAtAnotherInstance)
{
  const auto holder = mFirst.Send(kCallerPort, PacketKind::Opening).mTag;
  Advance(kCopyInterval);
  const auto other = mFirst.Send(kCallerPort, PacketKind::Opening).mTag;
  CHECK_TRUE(holder != other);
  CHECK_TRUE(Send(mSecond, holder) == holder);
  for (int request = 0; request < 3; ++request) {
    Advance(kPause);
    CHECK_TRUE(Send(mSecond, other) == holder);
  }
}

// Guards against the same fault if the handshake goes through the instance that received only the
// first opening packet, so that its record names one upstream only.
TEST(FlowCache, CopyAtAnotherInstance)
{
  const auto holder = mFirst.Send(kCallerPort, PacketKind::Opening).mTag;
  const auto other = mFirst.Tag(holder == mFirst.Tag(1) ? 2 : 1);
  CHECK_TRUE(Send(mFirst, holder) == holder);
  Advance(kPause);
  const auto decision = mFirst.Send(kCallerPort, PacketKind::MidFlow, other, true);
  CHECK_TRUE(decision.mTag == holder);
  CHECK_TRUE(decision.mReason == Reason::Retagged);
}

// Guards against a cache that overrides the instance that saw the handshake.
TEST(FlowCache, PinOfAPeerTakesPrecedence)
{
  const auto holder = mFirst.Tag(1);
  const auto other = mFirst.Tag(2);
  CHECK_TRUE(Send(mSecond, other) == other);
  lw::fleet::LoadReport report;
  lw::fleet::FlowPin* pin = report.add_pins();
  pin->set_caller_address(0x64400001);
  pin->set_caller_port(kCallerPort);
  pin->set_service_address(SteeringFixture::kServiceAddress);
  pin->set_service_port(SteeringFixture::kServicePort);
  pin->set_tag(holder.mValue);
  Steering::ApplyPins(mSecond.mState.mPins, report, mSecond.mNow);
  CHECK_TRUE(Send(mSecond, other) == holder);
  Steering::ApplyPins(mFirst.mState.mPins, report, mFirst.mNow);
  CHECK_TRUE(Send(mFirst, other) == holder);
  CHECK_TRUE(mFirst.mState.mFlowCache.mByFlow.empty());
}

// Guards against a cache that keeps flows of one request, which are many and never come back.
TEST(FlowCache, ClosedFlowsAreNotKept)
{
  const auto tag = mFirst.OpenFlow(kCallerPort);
  mFirst.Send(kCallerPort, PacketKind::Closing, tag);
  Send(mSecond, tag);
  mSecond.Send(kCallerPort, PacketKind::Closing, tag);
  for (SteeringFixture* entry : { &mFirst, &mSecond }) {
    entry->Send(kCallerPort, PacketKind::MidFlow, tag);
  }
  Advance(kPause);
  CHECK_TRUE(mFirst.mState.mFlowCache.mByFlow.empty());
  CHECK_TRUE(mSecond.mState.mFlowCache.mByFlow.empty());
}

// Guards against a cached invalid tag, which would outlast a valid one.
TEST(FlowCache, TagsWithoutUpstreamAreNotKept)
{
  Send(mFirst, Directory::RouteTag());
  Send(mFirst, Directory::RouteTag(12345));
  CHECK_TRUE(mFirst.mState.mFlowCache.mByFlow.empty());
}

// Guards against a later flow with the same addresses that is sent to the upstream of an earlier
// one, and against retransmissions that count as another flow.
TEST(FlowCache, SequenceNumbersDistinguishFlows)
{
  Steering::FlowCache cache;
  const Directory::RouteTag tag(7);
  Steering::CacheFlow(cache, FlowOf(1), kOpeningSequence, tag, mFirst.mNow);
  CHECK_TRUE(Steering::CachedTag(cache, FlowOf(1), kOpeningSequence + 1).has_value());
  CHECK_FALSE(Steering::CachedTag(cache, FlowOf(1), kOpeningSequence - 1).has_value());
  Steering::CacheForeignFlow(cache, FlowOf(2), kOpeningSequence, tag, mFirst.mNow);
  CHECK_TRUE(Steering::CachedTag(cache, FlowOf(2), kOpeningSequence - 1).has_value());
  CHECK_FALSE(Steering::CachedTag(cache, FlowOf(2), kOpeningSequence + (1U << 31U)).has_value());
}

// Guards against a cache that grows with the number of flows, and against entries that outlive
// their flows.
TEST(FlowCache, IsBounded)
{
  Steering::FlowCache cache;
  const uint32_t flows = Steering::kMaxCachedFlows + 1;
  for (uint32_t flow = 0; flow < flows; ++flow) {
    Steering::CacheFlow(cache, FlowOf(flow), 0, Directory::RouteTag(7), mFirst.mNow);
  }
  CHECK_EQUAL(Steering::kMaxCachedFlows, cache.mByFlow.size());
  CHECK_FALSE(Steering::CachedTag(cache, FlowOf(0), 0).has_value());
  Steering::ExpireCachedFlows(cache, mFirst.mNow + Steering::kMaxFlowAge + milliseconds(1));
  CHECK_TRUE(cache.mByFlow.empty());
  CHECK_TRUE(cache.mExpiries.empty());
}

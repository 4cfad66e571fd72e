#pragma once

#include "base/runtimeclock.h"

#include <cstdint>

namespace Placement {

using namespace std::chrono_literals;

/// Settings of the placement of one service. The defaults are the values of docs/design.md.
struct Settings
{
  /// A flow without a packet for this long is over.
  Base::Duration mFlowIdle = 60s;
  /// False if no bit of the packets marks opening ones.
  bool mHasOpeningMark = true;
  /// A table publisher acts after membership has not changed for this long.
  Base::Duration mStableMembership = 1s;
  /// A prepared change becomes active after this time even without all confirmations, so that a
  /// drain takes effect within 3 s.
  Base::Duration mPrepareTimeout = 1s;
  /// A change stays prepared for at least this long, so that a handshake in progress sends a packet
  /// while the owner still records its flow on the old upstream.
  Base::Duration mMinPrepare = 200ms;
  /// The same for services without opening mark, where each flow must send a packet.
  Base::Duration mMinPrepareWithoutMark = 900ms;
  /// Pause between resends of unanswered control messages.
  Base::Duration mResend = 100ms;
  /// Pause between the publisher's version reports, which repair lost messages.
  Base::Duration mReport = 500ms;
  /// Owners place new flows of a draining upstream elsewhere after this time, even if no publisher
  /// has moved its slots.
  Base::Duration mDrainGrace = 2s;
  /// An owner may have placed flows elsewhere if the drain is known for longer than this. Half of
  /// mDrainGrace, because instances learn of a drain at different times.
  Base::Duration mDrainMayHaveFallback = 1s;
  /// Opening packets later than this after the first one belong to a new flow of the same caller
  /// address if the recorded upstream takes no new work.
  Base::Duration mHandshake = 1s;
  /// A new owner waits this long for the previous owner, and as long again for all peers.
  Base::Duration mCollectTimeout = 500ms;
  /// An owner that is no longer selected hands over unasked after this time.
  Base::Duration mPushAfter = 1s;
  /// An instance that handed a slot to a member which its view lacks takes the member for gone
  /// after this time. Long enough for the news of a join to reach all instances.
  Base::Duration mUnknownOwner = 3s;
  /// Slow start: a new upstream gets its share in steps over this time.
  Base::Duration mRamp = 10s;
  uint32_t mRampSteps = 4;
};

} // namespace Placement

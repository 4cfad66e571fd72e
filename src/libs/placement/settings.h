#pragma once

#include "base/runtimeclock.h"

#include <cstdint>

namespace Placement {

using namespace std::chrono_literals;

/// Placement settings of one service. The defaults are documented in docs/design.md.
struct Settings
{
  /// A flow without a packet for this long has ended.
  Base::Duration mFlowIdle = 60s;
  /// False if opening packets can't be recognized by a bit in their payload.
  bool mHasOpeningMark = true;
  /// The publisher acts only after the membership has been unchanged for this long.
  Base::Duration mStableMembershipTime = 1s;
  /// A prepared change is activated after this time even if confirmations are missing, so that a
  /// drain takes effect within 3 s.
  Base::Duration mPrepareTimeout = 1s;
  /// Minimum time between prepare and activation, in which flows with a handshake in progress send
  /// a packet and are recorded with the old upstream.
  Base::Duration mMinPrepareTime = 200ms;
  /// The same for services without opening mark, where every flow must send a packet in this time.
  Base::Duration mMinPrepareTimeWithoutMark = 900ms;
  /// Interval between resends of unanswered control messages.
  Base::Duration mResendInterval = 100ms;
  /// Interval between the publisher's version reports, by which members detect lost messages.
  Base::Duration mReportInterval = 500ms;
  /// After this time, owners place new flows of a draining upstream elsewhere even if the publisher
  /// has not moved its slots.
  Base::Duration mDrainGrace = 2s;
  /// If the publisher has known of a drain for this long, owners may already have placed flows
  /// elsewhere. Half of mDrainGrace, because instances learn of a drain at different times.
  Base::Duration mDrainFallbackDelay = 1s;
  /// An opening packet later than this after the first one starts a new flow with the same caller
  /// address if the recorded upstream takes no new flows.
  Base::Duration mHandshakeTimeout = 1s;
  /// A new owner waits this long for the previous owner and then as long for all peers.
  Base::Duration mCollectTimeout = 500ms;
  /// A former owner sends its records after this time if the new owner has not collected them.
  Base::Duration mPushDelay = 1s;
  /// After this time, a member that received a slot but is missing in the view is considered gone.
  /// Longer than it takes until all instances learn of a new member.
  Base::Duration mUnknownOwnerTimeout = 3s;
  /// Slow start: the share of a new upstream grows in steps over this time.
  Base::Duration mRampDuration = 10s;
  uint32_t mRampSteps = 4;
};

} // namespace Placement

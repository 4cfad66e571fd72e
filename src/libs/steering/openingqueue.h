#pragma once

#include "steering/flowtable.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Steering {

/// An opening packet that waits until an upstream has room for its flow.
struct HeldOpening
{
  FlowKey mFlow;
  /// The datagram as it was received.
  std::string mDatagram;
  /// When the caller sent its first copy.
  Base::TimePoint mSentAt;
  /// Latest time at which the flow can be forwarded and still meet its latency objective.
  Base::TimePoint mUsefulUntil;
  /// 0 is the most urgent.
  uint32_t mPriority = 0;
};

/// Order in which held opening packets are forwarded.
struct OpeningOrder
{
  uint32_t mPriority = 0;
  Base::TimePoint mSentAt;
  uint64_t mNumber = 0;
};

bool
operator<(const OpeningOrder& aLeft, const OpeningOrder& aRight);

/// Opening packets of one service, for a herd of callers after a common restart or a flood. Flows
/// that can still meet their latency objective go first, so that a backlog of late ones does not
/// make all later ones late too. Owned by one entry instance; after a restart the callers' next
/// copies replace the packets. Bounded by kMaxHeldOpenings.
struct OpeningQueue
{
  std::map<OpeningOrder, HeldOpening> mInTime;
  std::map<OpeningOrder, HeldOpening> mLate;
  uint64_t mNextNumber = 0;
};

constexpr size_t kMaxHeldOpenings = 1000;

size_t
Size(const OpeningQueue& aQueue);

/// \return the number of opening packets that would be forwarded before the given one.
size_t
CountAhead(const OpeningQueue& aQueue, const HeldOpening& aOpening, Base::TimePoint aNow);

void
Hold(OpeningQueue& aQueue, HeldOpening aOpening);

/// \return the opening packet to forward next, or nullptr if the queue is empty.
const HeldOpening*
Next(OpeningQueue& aQueue, Base::TimePoint aNow);

/// Removes the packet that Next returns.
void
RemoveNext(OpeningQueue& aQueue);

/// Removes the packets whose callers have ended their attempt.
/// \return the flows of the removed packets.
std::vector<FlowKey>
RemoveExpired(OpeningQueue& aQueue, Base::Duration aLifetime, Base::TimePoint aNow);

} // namespace Steering

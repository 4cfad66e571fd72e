#pragma once

#include "base/endpoint.h"
#include "base/runtimeclock.h"
#include "directory/upstream.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace Steering {

struct FlowKey
{
  Base::Endpoint mCaller;
  Base::Endpoint mService;
};

bool
operator==(const FlowKey& aLeft, const FlowKey& aRight);

struct FlowKeyHash
{
  size_t operator()(const FlowKey& aKey) const;
};

/// What an entry instance remembers of a flow whose opening packet it got. Other instances need no
/// record: the tag is in the packets.
struct Flow
{
  /// Upstream of the newest opening packet, or the one whose handshake the caller confirmed.
  Directory::RouteTag mTag;
  /// The caller has answered mTag's handshake.
  bool mConfirmed = false;
  /// Work counts against mTag's load.
  bool mCounted = false;
  std::vector<Directory::RouteTag> mTried;
  /// Of the opening packet; another one under the same addresses opens another flow.
  uint32_t mSequence = 0;
  std::string mService;
  uint64_t mRouteVersion = 0;
  Base::TimePoint mOpenedAt;
  /// When the newest opening packet was sent on.
  Base::TimePoint mOfferedAt;
  /// Availability zone of mTag's upstream if it is another one, else empty.
  std::string mRemoteZone;
  /// mTag has been blamed for leaving it without an answer.
  bool mBlamed = false;
  Base::TimePoint mLastPacketAt;
};

/// Owned by one entry instance, bounded by kMaxFlows; lost with it, which costs nothing but load
/// figures.
struct FlowTable
{
  std::unordered_map<FlowKey, Flow, FlowKeyHash> mFlows;
};

constexpr size_t kMaxFlows = 50000;

} // namespace Steering

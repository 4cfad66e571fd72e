#pragma once

#include "base/endpoint.h"
#include "base/runtimeclock.h"
#include "directory/upstream.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Steering {

/// Identifies a flow by the caller's address and the service address that it connects to.
struct FlowKey
{
  Base::Endpoint mCaller;
  Base::Endpoint mService;
};

bool
operator==(const FlowKey& aLeft, const FlowKey& aRight);

/// Longest life of a flow. Callers and upstreams may discard older ones.
constexpr std::chrono::seconds kMaxFlowAge{ 60 };

/// \param aFirstSequence is the lowest sequence number of a flow.
/// \return true if a packet with the same addresses belongs to this flow and not to a later one.
bool
IsInFlow(uint32_t aFirstSequence, uint32_t aSequence);

struct FlowKeyHash
{
  size_t operator()(const FlowKey& aKey) const;
};

/// State of a flow at the entry instance that received its opening packet. Other instances need no
/// state, because later packets carry the tag of the upstream.
struct Flow
{
  /// Upstream that the latest opening packet was forwarded to, or, once the flow is confirmed, the
  /// upstream whose handshake the caller completed.
  Directory::RouteTag mTag;
  /// True if the caller has completed the handshake with mTag.
  bool mConfirmed = false;
  /// True if the flow is included in the outstanding flows of mTag.
  bool mCountedInLoad = false;
  /// True while the opening packet waits in the queue of its service.
  bool mHeld = false;
  /// True if the caller has sent data, so that a packet without data acknowledges an answer.
  bool mHasSentData = false;
  /// When the caller sent its latest request or completed the handshake.
  Base::TimePoint mRequestAt;
  /// When the request began whose answer has not been seen yet, for outlier ejection.
  std::optional<Base::TimePoint> mAwaitsAnswerSince;
  /// Sequence number of the latest packet with data. A copy of it is no later request.
  uint32_t mDataSequence = 0;
  /// True if the requests of the flow's route can be repeated.
  bool mIsRepeatable = false;
  std::vector<Directory::RouteTag> mTriedUpstreams;
  /// True if another instance may have forwarded an earlier copy of the opening packet.
  bool mTriedElsewhere = false;
  /// Sequence number of the opening packet. An opening packet with the same addresses but another
  /// sequence number opens a new flow.
  uint32_t mSequence = 0;
  std::string mService;
  uint64_t mRouteVersion = 0;
  Base::TimePoint mOpenedAt;
  /// When the latest opening packet was forwarded.
  Base::TimePoint mForwardedAt;
  /// Availability zone of mTag's upstream, or empty if it is the local zone.
  std::string mRemoteZone;
  /// True if the missing answer to the latest opening packet was recorded against mTag.
  bool mUnansweredRecorded = false;
  Base::TimePoint mLastPacketAt;
  /// True if the caller has closed or aborted the flow.
  bool mClosing = false;
};

/// Flows opened at one entry instance, at most kMaxFlows. If the instance restarts, only the load
/// figures are lost: the packets of open flows are still forwarded by their tags.
struct FlowTable
{
  std::unordered_map<FlowKey, Flow, FlowKeyHash> mFlows;
};

constexpr size_t kMaxFlows = 50000;

} // namespace Steering

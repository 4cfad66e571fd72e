#pragma once

#include "steering/expiringflows.h"

#include <cstdint>
#include <optional>

namespace Steering {

/// The upstream that an instance has sent packets of an open flow to.
struct CachedFlow
{
  Directory::RouteTag mTag;
  /// Lowest sequence number of the flow's packets. It distinguishes a later flow with the same
  /// addresses.
  uint32_t mFirstSequence = 0;
  Base::TimePoint mAddedAt;
};

/// Upstreams of open flows without a record, so that an upstream that answers a copy of the opening
/// packet late does not take over a flow that has paused. Not shared with peers: FlowPins is for
/// the flows of which an instance knows that several upstreams may have answered. At most
/// kMaxCachedFlows, oldest discarded first; lost on a restart, after which the tag decides again.
struct FlowCache : ExpiringFlows<CachedFlow>
{};

constexpr size_t kMaxCachedFlows = 20000;

/// Stores the upstream of a flow whose record is removed.
void
CacheFlow(FlowCache& aCache,
          const FlowKey& aFlow,
          uint32_t aOpeningSequence,
          Directory::RouteTag aTag,
          Base::TimePoint aNow);

/// Stores the upstream of a flow that was opened at another instance, unless it is known already.
/// \param aSequence is the sequence number of the first packet that this instance received.
void
CacheForeignFlow(FlowCache& aCache,
                 const FlowKey& aFlow,
                 uint32_t aSequence,
                 Directory::RouteTag aTag,
                 Base::TimePoint aNow);

/// \param aSequence is the sequence number of a packet of the flow.
/// \return the tag of the upstream that the flow's packets were sent to, or std::nullopt.
std::optional<Directory::RouteTag>
CachedTag(const FlowCache& aCache, const FlowKey& aFlow, uint32_t aSequence);

/// Removes a flow that its caller has closed.
void
RemoveCached(FlowCache& aCache, const FlowKey& aFlow);

void
ExpireCachedFlows(FlowCache& aCache, Base::TimePoint aNow);

} // namespace Steering

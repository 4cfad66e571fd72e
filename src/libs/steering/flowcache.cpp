#include "steering/flowcache.h"

#include <chrono>

namespace Steering {

using namespace Internal;

namespace {

/// Retransmissions may have lower sequence numbers than the first packet that arrives here. Callers
/// have fewer bytes in flight.
constexpr uint32_t kMaxBytesInFlight = uint32_t{ 64 } * 1024;

void
Store(FlowCache& aCache,
      const FlowKey& aFlow,
      uint32_t aFirstSequence,
      Directory::RouteTag aTag,
      Base::TimePoint aNow)
{
  AddEntry(aCache, aFlow, aNow, kMaxCachedFlows) = { aTag, aFirstSequence, aNow };
}

} // namespace

void
CacheFlow(FlowCache& aCache,
          const FlowKey& aFlow,
          uint32_t aOpeningSequence,
          Directory::RouteTag aTag,
          Base::TimePoint aNow)
{
  Store(aCache, aFlow, aOpeningSequence, aTag, aNow);
}

void
CacheForeignFlow(FlowCache& aCache,
                 const FlowKey& aFlow,
                 uint32_t aSequence,
                 Directory::RouteTag aTag,
                 Base::TimePoint aNow)
{
  if (!CachedTag(aCache, aFlow, aSequence).has_value()) {
    Store(aCache, aFlow, aSequence - kMaxBytesInFlight, aTag, aNow);
  }
}

std::optional<Directory::RouteTag>
CachedTag(const FlowCache& aCache, const FlowKey& aFlow, uint32_t aSequence)
{
  const auto cached = aCache.mByFlow.find(aFlow);
  if (cached == aCache.mByFlow.end() || !IsInFlow(cached->second.mFirstSequence, aSequence)) {
    return std::nullopt;
  }
  return cached->second.mTag;
}

void
RemoveCached(FlowCache& aCache, const FlowKey& aFlow)
{
  aCache.mByFlow.erase(aFlow);
}

void
ExpireCachedFlows(FlowCache& aCache, Base::TimePoint aNow)
{
  RemoveExpired(aCache, kMaxFlowAge, aNow);
}

} // namespace Steering

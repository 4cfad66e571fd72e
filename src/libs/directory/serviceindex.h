#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace Directory {

struct MergedUpstream;

/// Upstreams of one service in one availability zone.
struct ZoneUpstreams
{
  /// The ready ones in the order of their id and start, on which all entry instances agree.
  std::vector<const MergedUpstream*> mReady;
  /// Number of upstreams in any state.
  size_t mKnown = 0;
};

/// Upstreams of one service by availability zone. Only zones with upstreams are listed.
using ZoneIndex = std::map<std::string, ZoneUpstreams>;

/// Upstreams by service and availability zone, so that a choice does not pass over those of other
/// services.
using ServiceIndex = std::unordered_map<std::string, ZoneIndex>;

/// Adds an upstream that is not in the index. Until it is removed, it must keep its place in memory
/// and its id, start, service, availability zone and state.
void
AddToIndex(ServiceIndex& aIndex, const MergedUpstream& aUpstream);

/// Removes an upstream that is in the index.
void
RemoveFromIndex(ServiceIndex& aIndex, const MergedUpstream& aUpstream);

} // namespace Directory

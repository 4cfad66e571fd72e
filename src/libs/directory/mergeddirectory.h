#pragma once

#include "directory/upstream.h"

#include "fleet.pb.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace Directory {

/// One start of an upstream, merged from all control instances.
struct MergedUpstream
{
  Upstream mUpstream;
  RouteTag mTag;
  /// Newest announcement that any control instance told of.
  Base::TimePoint mHeardAt;
};

/// Upstreams known to an entry instance. Owned by that instance, bounded by what the control
/// instances announce; learned again after a restart.
struct MergedDirectory
{
  std::unordered_map<RouteTag, MergedUpstream> mByTag;
  /// Newest start under each id.
  std::map<UpstreamId, RouteTag> mNewest;
  std::map<Base::Endpoint, RouteTag> mByAddress;
};

/// Takes a reply of a control instance.
/// \return the tags of upstreams that no longer get new flows because of it.
std::vector<RouteTag>
Merge(MergedDirectory& aDirectory, const lw::fleet::PollReply& aReply, Base::TimePoint aNow);

/// \return the upstream, or nullptr.
const MergedUpstream*
Find(const MergedDirectory& aDirectory, RouteTag aTag);

/// Forgets upstreams that are gone or silent for long. Their tags are unknown afterwards.
void
ForgetGone(MergedDirectory& aDirectory, Base::TimePoint aNow);

} // namespace Directory

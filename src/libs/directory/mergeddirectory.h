#pragma once

#include "base/ids.h"
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
  /// Control instances that hear it; their replies vouch for it until they say otherwise.
  std::vector<Base::InstanceId> mHeardBy;
};

/// A control instance that tells of upstreams.
struct DirectorySource
{
  /// Of its present run; what it said before its restart does not count any more.
  uint64_t mEpoch = 0;
  Base::TimePoint mRepliedAt;
};

/// Upstreams known to an entry instance. Owned by that instance, bounded by what the control
/// instances announce; learned again after a restart.
struct MergedDirectory
{
  std::unordered_map<RouteTag, MergedUpstream> mByTag;
  /// Newest start under each id.
  std::map<UpstreamId, RouteTag> mNewest;
  std::map<Base::Endpoint, RouteTag> mByAddress;
  std::map<Base::InstanceId, DirectorySource> mSources;
};

/// Takes a reply of a control instance.
/// \return the tags of upstreams that no longer get new flows because of it.
std::vector<RouteTag>
Merge(MergedDirectory& aDirectory,
      Base::InstanceId aControl,
      const lw::fleet::PollReply& aReply,
      Base::TimePoint aNow);

/// \return when the upstream was last known to announce itself.
Base::TimePoint
LastHeard(const MergedDirectory& aDirectory, const MergedUpstream& aUpstream);

/// \return the upstream, or nullptr.
const MergedUpstream*
Find(const MergedDirectory& aDirectory, RouteTag aTag);

/// Forgets upstreams that are gone or silent for long, and control instances that are. Their tags
/// are unknown afterwards.
void
ForgetGone(MergedDirectory& aDirectory, Base::TimePoint aNow);

} // namespace Directory

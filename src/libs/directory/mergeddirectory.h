#pragma once

#include "base/ids.h"
#include "directory/upstream.h"

#include "fleet.pb.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace Directory {

/// One start of an upstream, merged from the replies of all control instances.
struct MergedUpstream
{
  Upstream mUpstream;
  RouteTag mTag;
  /// Time of the latest announcement that a control instance reported explicitly.
  Base::TimePoint mLastAnnouncedAt;
  /// Control instances that receive its announcements. Each of their replies renews the upstream
  /// until they report it as silent.
  std::vector<Base::InstanceId> mAnnouncedTo;
};

/// A control instance that reports upstreams.
struct DirectorySource
{
  /// Epoch of its current run. Reports from before a restart no longer renew upstreams.
  uint64_t mEpoch = 0;
  Base::TimePoint mRepliedAt;
  /// True if its latest reply says that it is connected to the leader of the log.
  bool mConnected = false;
  /// True if its latest reply completes the transfer of its directory.
  bool mComplete = false;
};

/// Upstreams known to an entry instance. Bounded by the upstreams that the control instances
/// report; rebuilt from their replies after a restart.
struct MergedDirectory
{
  std::unordered_map<RouteTag, MergedUpstream> mByTag;
  /// Newest start of each id.
  std::map<UpstreamId, RouteTag> mNewest;
  std::map<Base::Endpoint, RouteTag> mByAddress;
  std::map<Base::InstanceId, DirectorySource> mSources;
};

/// Merges a reply of a control instance into the directory.
/// \return the tags of the upstreams that no longer get new flows because of the reply.
std::vector<RouteTag>
Merge(MergedDirectory& aDirectory,
      Base::InstanceId aControl,
      const lw::fleet::PollReply& aReply,
      Base::TimePoint aNow);

/// \return the latest time at which the upstream is known to have announced itself.
Base::TimePoint
LastAnnounced(const MergedDirectory& aDirectory, const MergedUpstream& aUpstream);

/// \return the upstream with this tag, or nullptr if there is none.
const MergedUpstream*
Find(const MergedDirectory& aDirectory, RouteTag aTag);

/// Removes upstreams that have not announced themselves for long, and control instances that have
/// not replied for long. The tags of removed upstreams are unknown afterwards.
void
RemoveExpiredUpstreams(MergedDirectory& aDirectory, Base::TimePoint aNow);

} // namespace Directory

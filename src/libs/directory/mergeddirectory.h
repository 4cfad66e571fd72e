#pragma once

#include "base/ids.h"
#include "directory/serviceindex.h"
#include "directory/upstream.h"

#include "fleet.pb.h"

#include <map>
#include <string>
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
  MergedDirectory() = default;
  /// mByService refers to elements of mByTag, so a copy gets an index of its own.
  MergedDirectory(const MergedDirectory& aOther);
  MergedDirectory& operator=(const MergedDirectory& aOther);
  MergedDirectory(MergedDirectory&& aOther) = default;
  MergedDirectory& operator=(MergedDirectory&& aOther) = default;
  ~MergedDirectory() = default;

  /// Upstreams are added, removed, and changed in what mByService depends on, only by the functions
  /// below, which update both.
  std::unordered_map<RouteTag, MergedUpstream> mByTag;
  ServiceIndex mByService;
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

/// \return the upstreams of the service by availability zone.
const ZoneIndex&
ZonesOf(const MergedDirectory& aDirectory, const std::string& aService);

/// \return the upstreams of the service in the availability zone, an empty list if there are none.
const ZoneUpstreams&
UpstreamsIn(const MergedDirectory& aDirectory,
            const std::string& aService,
            const std::string& aAvailabilityZone);

/// Removes the upstream with this tag, if there is one. The tag is unknown afterwards.
void
Remove(MergedDirectory& aDirectory, RouteTag aTag);

/// Removes upstreams that have not announced themselves for long, and control instances that have
/// not replied for long. The tags of removed upstreams are unknown afterwards.
void
RemoveExpiredUpstreams(MergedDirectory& aDirectory, Base::TimePoint aNow);

} // namespace Directory

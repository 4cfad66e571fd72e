#pragma once

#include "directory/upstream.h"

#include "config.pb.h"
#include "fleet.pb.h"

#include <map>
#include <string>
#include <utility>

namespace Directory {

/// One announcement of an upstream.
struct Announcement
{
  Upstream mUpstream;
  /// Increases with each announcement of one start, so that delayed announcements are detected.
  uint64_t mSequence = 0;
};

/// Effect of an announcement on the table.
enum class AnnounceOutcome
{
  /// The first announcement of this start, or one with a new state, address or other property.
  Changed,
  /// Only renews the previous announcement.
  Renewed,
  /// Ignored, because a newer announcement was received before.
  Stale,
  /// Rejected, because the table already holds kMaxAnnouncedUpstreams upstreams.
  Full
};

/// Bounds the memory use if announcements arrive with ever new ids.
constexpr size_t kMaxAnnouncedUpstreams = 20000;

/// One start of an upstream in the table of a control instance.
struct AnnouncedUpstream
{
  Upstream mUpstream;
  uint64_t mSequence = 0;
  Base::TimePoint mLastAnnouncedAt;
  bool mSilent = false;
  /// Table revision of the last change of mUpstream.
  uint64_t mContentRevision = 0;
  /// Table revision of the last change of mUpstream or mSilent, which pollers have to receive.
  uint64_t mReportedRevision = 0;
};

/// Upstreams that announced themselves to this control instance, and departures from the log.
/// Bounded by kMaxAnnouncedUpstreams and the number of departures in the log. Not persistent: after
/// a restart it is rebuilt from new announcements.
struct AnnouncementTable
{
  /// Identifies the run of the control instance. Revisions of different epochs are not comparable.
  uint64_t mEpoch = 0;
  /// Increases with each change, but not with announcements that only renew the previous one.
  uint64_t mRevision = 0;
  std::map<UpstreamId, AnnouncedUpstream> mUpstreams;
  /// Upstreams by mReportedRevision.
  std::map<uint64_t, UpstreamId> mByRevision;
};

/// Adds or updates the upstream of an announcement. A newer start replaces an older one with the
/// same id.
AnnounceOutcome
Announce(AnnouncementTable& aTable, const Announcement& aAnnouncement, Base::TimePoint aNow);

/// Marks one start of an upstream as draining, so that it gets no new flows. Later announcements of
/// the same start do not change that.
void
MarkDeparted(AnnouncementTable& aTable,
             const lw::config::Departure& aDeparture,
             Base::TimePoint aNow);

/// Marks upstreams whose last announcement is older than aSilence as silent.
void
MarkSilent(AnnouncementTable& aTable, Base::Duration aSilence, Base::TimePoint aNow);

/// Removes upstreams that have been silent for so long that no entry instance uses them any more.
/// Keeps departed upstreams, because entry instances that start later need them.
void
RemoveSilentUpstreams(AnnouncementTable& aTable, Base::TimePoint aNow);

/// Removes departed upstreams that have been silent for long and whose departure is no longer in
/// the log. \param aState is the current state of the log.
void
RemoveDepartedUpstreams(AnnouncementTable& aTable,
                        const lw::config::State& aState,
                        Base::TimePoint aNow);

/// Limits the size of a reply, so that it reaches the poller before its timeout on a slow link.
constexpr size_t kMaxUpstreamsInReply = 128;

/// Adds the changes since the poller's position to the reply, oldest first.
void
FillReply(const AnnouncementTable& aTable,
          const lw::fleet::Poll& aPoll,
          Base::TimePoint aNow,
          lw::fleet::PollReply& aReply);

} // namespace Directory

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
  /// Grows with each announcement of one start, so that a late one is recognised.
  uint64_t mSequence = 0;
};

/// What an announcement changed.
enum class AnnounceOutcome
{
  /// The first one of this start, or its state or address changed.
  Changed,
  Renewed,
  /// Older than what is known, so nothing changed.
  Stale,
  /// kMaxAnnounced upstreams are known already, so it was not taken.
  Full
};

/// Bounds the memory against announcements under ever new ids.
constexpr size_t kMaxAnnounced = 20000;

/// One start of an upstream, as a control instance knows it.
struct AnnouncedUpstream
{
  Upstream mUpstream;
  uint64_t mSequence = 0;
  Base::TimePoint mHeardAt;
  bool mSilent = false;
  /// Table revision of the last change of mUpstream.
  uint64_t mChangedIn = 0;
  /// Table revision of the last change of mUpstream or mSilent.
  uint64_t mToldIn = 0;
};

/// Upstreams that announced themselves to this control instance, and departures from the log.
/// Owned by one control instance, bounded by kMaxAnnounced and the departures that the log keeps.
/// Lost with the process; the upstreams announce themselves again.
struct AnnouncementTable
{
  /// Tells apart two runs of the control instance; revisions of different epochs do not compare.
  uint64_t mEpoch = 0;
  /// Grows with each change, but not with announcements that only renew.
  uint64_t mRevision = 0;
  std::map<UpstreamId, AnnouncedUpstream> mUpstreams;
  /// Upstreams by mToldIn.
  std::map<uint64_t, UpstreamId> mByRevision;
};

/// Takes an announcement. A newer start replaces an older one under the same id.
AnnounceOutcome
Announce(AnnouncementTable& aTable, const Announcement& aAnnouncement, Base::TimePoint aNow);

/// Marks one start of an upstream as gone for new flows. Later announcements of it change nothing.
void
MarkDeparted(AnnouncementTable& aTable,
             const lw::config::Departure& aDeparture,
             Base::TimePoint aNow);

/// Marks upstreams that were not heard for longer than this as silent.
void
MarkSilent(AnnouncementTable& aTable, Base::Duration aSilence, Base::TimePoint aNow);

/// Forgets upstreams that were silent for so long that no instance uses them any more. Departed
/// ones stay, because an entry instance that starts later must learn of them.
void
ForgetSilent(AnnouncementTable& aTable, Base::TimePoint aNow);

/// Forgets departed upstreams that were silent for long and whose departure the log has dropped.
/// \param aState is the present state of the log.
void
ForgetDeparted(AnnouncementTable& aTable, const lw::config::State& aState, Base::TimePoint aNow);

/// Upstreams in one reply, so that a slow link carries it well within the poller's patience.
constexpr size_t kMaxUpstreamsInReply = 128;

/// Adds what changed since the poller's position, oldest change first.
void
FillReply(const AnnouncementTable& aTable,
          const lw::fleet::Poll& aPoll,
          Base::TimePoint aNow,
          lw::fleet::PollReply& aReply);

} // namespace Directory

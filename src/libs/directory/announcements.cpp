#include "directory/announcements.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <set>
#include <utility>

namespace Directory {

namespace {

/// Much longer than the lease of the entry instances, so that none of them still uses the upstream.
constexpr std::chrono::seconds kSilentRetention{ 120 };

bool
HasChanged(const Upstream& aKnown, const Upstream& aNew)
{
  return aKnown.mState != aNew.mState || aKnown.mAddress != aNew.mAddress ||
         aKnown.mService != aNew.mService || aKnown.mSlots != aNew.mSlots ||
         aKnown.mAvailabilityZone != aNew.mAvailabilityZone;
}

bool
IsRetentionOver(const AnnouncedUpstream& aUpstream, Base::TimePoint aNow)
{
  return aNow - aUpstream.mLastAnnouncedAt > kSilentRetention;
}

template<typename Predicate>
void
EraseIf(AnnouncementTable& aTable, Predicate aPredicate)
{
  auto& upstreams = aTable.mUpstreams;
  for (auto item = upstreams.begin(); item != upstreams.end();) {
    if (!aPredicate(item->second)) {
      ++item;
      continue;
    }
    aTable.mByRevision.erase(item->second.mReportedRevision);
    item = upstreams.erase(item);
  }
}

enum class ChangeKind
{
  Upstream,
  Presence
};

/// Assigns a new revision to the upstream, so that the next replies to pollers include it.
void
PublishChange(AnnouncementTable& aTable,
              UpstreamId aId,
              AnnouncedUpstream& aUpstream,
              ChangeKind aKind)
{
  aTable.mByRevision.erase(aUpstream.mReportedRevision);
  aUpstream.mReportedRevision = ++aTable.mRevision;
  aTable.mByRevision[aUpstream.mReportedRevision] = aId;
  if (aKind == ChangeKind::Upstream) {
    aUpstream.mContentRevision = aUpstream.mReportedRevision;
  }
}

uint32_t
MillisecondsSince(Base::TimePoint aTime, Base::TimePoint aNow)
{
  return static_cast<uint32_t>(
    std::chrono::duration_cast<std::chrono::milliseconds>(aNow - aTime).count());
}

} // namespace

AnnounceOutcome
Announce(AnnouncementTable& aTable, const Announcement& aAnnouncement, Base::TimePoint aNow)
{
  const Upstream& upstream = aAnnouncement.mUpstream;
  const auto found = aTable.mUpstreams.find(upstream.mId);
  if (found == aTable.mUpstreams.end()) {
    if (aTable.mUpstreams.size() >= kMaxAnnouncedUpstreams) {
      return AnnounceOutcome::Full;
    }
    AnnouncedUpstream& added = aTable.mUpstreams[upstream.mId];
    added.mUpstream = upstream;
    added.mSequence = aAnnouncement.mSequence;
    added.mLastAnnouncedAt = aNow;
    PublishChange(aTable, upstream.mId, added, ChangeKind::Upstream);
    return AnnounceOutcome::Changed;
  }
  AnnouncedUpstream& known = found->second;
  const bool sameStart = known.mUpstream.mStartedAtMs == upstream.mStartedAtMs;
  if (upstream.mStartedAtMs < known.mUpstream.mStartedAtMs ||
      (sameStart && aAnnouncement.mSequence <= known.mSequence)) {
    return AnnounceOutcome::Stale;
  }
  Upstream next = upstream;
  if (sameStart) {
    next.mState = std::max(next.mState, known.mUpstream.mState);
    if (next.mAddress == Base::Endpoint()) {
      next.mAddress = known.mUpstream.mAddress;
    }
  }
  const bool changed = !sameStart || HasChanged(known.mUpstream, next);
  const bool wasSilent = std::exchange(known.mSilent, false);
  known.mUpstream = std::move(next);
  known.mSequence = aAnnouncement.mSequence;
  known.mLastAnnouncedAt = aNow;
  if (changed || wasSilent) {
    PublishChange(
      aTable, upstream.mId, known, changed ? ChangeKind::Upstream : ChangeKind::Presence);
  }
  return changed ? AnnounceOutcome::Changed : AnnounceOutcome::Renewed;
}

void
MarkDeparted(AnnouncementTable& aTable,
             const lw::config::Departure& aDeparture,
             Base::TimePoint aNow)
{
  const UpstreamId id(aDeparture.upstream());
  AnnouncedUpstream& known = aTable.mUpstreams[id];
  if (known.mUpstream.mStartedAtMs > aDeparture.started_at_ms()) {
    return;
  }
  if (known.mUpstream.mStartedAtMs < aDeparture.started_at_ms() || known.mContentRevision == 0) {
    known.mUpstream = Upstream();
    known.mUpstream.mId = id;
    known.mUpstream.mStartedAtMs = aDeparture.started_at_ms();
    known.mSequence = 0;
    known.mLastAnnouncedAt = aNow;
  }
  if (known.mUpstream.mState == State::Ready || known.mContentRevision == 0) {
    known.mUpstream.mState = std::max(known.mUpstream.mState, State::Draining);
    PublishChange(aTable, id, known, ChangeKind::Upstream);
  }
}

void
MarkSilent(AnnouncementTable& aTable, Base::Duration aSilence, Base::TimePoint aNow)
{
  for (auto& [id, upstream] : aTable.mUpstreams) {
    if (!upstream.mSilent && aNow - upstream.mLastAnnouncedAt > aSilence) {
      upstream.mSilent = true;
      PublishChange(aTable, id, upstream, ChangeKind::Presence);
    }
  }
}

void
RemoveSilentUpstreams(AnnouncementTable& aTable, Base::TimePoint aNow)
{
  EraseIf(aTable, [aNow](const AnnouncedUpstream& aUpstream) {
    return aUpstream.mUpstream.mState == State::Ready && IsRetentionOver(aUpstream, aNow);
  });
}

void
RemoveDepartedUpstreams(AnnouncementTable& aTable,
                        const lw::config::State& aState,
                        Base::TimePoint aNow)
{
  std::set<std::pair<uint64_t, uint64_t>> logged;
  for (const lw::config::Departure& departure : aState.departures()) {
    logged.emplace(departure.upstream(), departure.started_at_ms());
  }
  EraseIf(aTable, [&](const AnnouncedUpstream& aUpstream) {
    const Upstream& upstream = aUpstream.mUpstream;
    return upstream.mState != State::Ready && IsRetentionOver(aUpstream, aNow) &&
           logged.count({ upstream.mId.mValue, upstream.mStartedAtMs }) == 0;
  });
}

void
FillReply(const AnnouncementTable& aTable,
          const lw::fleet::Poll& aPoll,
          Base::TimePoint aNow,
          lw::fleet::PollReply& aReply)
{
  const uint64_t known = aPoll.directory_epoch() == aTable.mEpoch ? aPoll.directory_revision() : 0;
  aReply.set_directory_epoch(aTable.mEpoch);
  aReply.set_directory_revision(aTable.mRevision);
  size_t added = 0;
  for (auto next = aTable.mByRevision.upper_bound(known); next != aTable.mByRevision.end();
       ++next) {
    if (added++ == kMaxUpstreamsInReply) {
      aReply.set_directory_revision(std::prev(next)->first);
      aReply.set_more(true);
      return;
    }
    const AnnouncedUpstream& announced = aTable.mUpstreams.at(next->second);
    const Upstream& upstream = announced.mUpstream;
    if (announced.mContentRevision > known) {
      lw::fleet::Upstream& message = *aReply.add_upstreams();
      message = ToMessage(upstream, aNow - announced.mLastAnnouncedAt, aNow);
      message.set_silent(announced.mSilent);
    } else {
      lw::fleet::Presence* presence = aReply.add_presences();
      presence->set_tag(TagOf(upstream.mId, upstream.mStartedAtMs).mValue);
      presence->set_age_ms(MillisecondsSince(announced.mLastAnnouncedAt, aNow));
      presence->set_silent(announced.mSilent);
    }
  }
}

} // namespace Directory

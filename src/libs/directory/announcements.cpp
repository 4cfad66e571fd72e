#include "directory/announcements.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <set>
#include <utility>

namespace Directory {

namespace {

/// Long after every lease of an entry instance has run out.
constexpr std::chrono::seconds kForgetAfter{ 120 };

bool
HasChanged(const Upstream& aKnown, const Upstream& aNew)
{
  return aKnown.mState != aNew.mState || aKnown.mAddress != aNew.mAddress ||
         aKnown.mService != aNew.mService || aKnown.mSlots != aNew.mSlots ||
         aKnown.mAvailabilityZone != aNew.mAvailabilityZone;
}

bool
IsSilent(const AnnouncedUpstream& aUpstream, Base::TimePoint aNow)
{
  return aNow - aUpstream.mHeardAt > kForgetAfter;
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
    aTable.mByRevision.erase(item->second.mToldIn);
    item = upstreams.erase(item);
  }
}

enum class What
{
  Upstream,
  Presence
};

/// Gives the upstream a new revision, so that pollers are told.
void
Tell(AnnouncementTable& aTable, UpstreamId aId, AnnouncedUpstream& aUpstream, What aWhat)
{
  aTable.mByRevision.erase(aUpstream.mToldIn);
  aUpstream.mToldIn = ++aTable.mRevision;
  aTable.mByRevision[aUpstream.mToldIn] = aId;
  if (aWhat == What::Upstream) {
    aUpstream.mChangedIn = aUpstream.mToldIn;
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
    if (aTable.mUpstreams.size() >= kMaxAnnounced) {
      return AnnounceOutcome::Full;
    }
    AnnouncedUpstream& added = aTable.mUpstreams[upstream.mId];
    added.mUpstream = upstream;
    added.mSequence = aAnnouncement.mSequence;
    added.mHeardAt = aNow;
    Tell(aTable, upstream.mId, added, What::Upstream);
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
  known.mHeardAt = aNow;
  if (changed || wasSilent) {
    Tell(aTable, upstream.mId, known, changed ? What::Upstream : What::Presence);
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
  if (known.mUpstream.mStartedAtMs < aDeparture.started_at_ms() || known.mChangedIn == 0) {
    known.mUpstream = Upstream();
    known.mUpstream.mId = id;
    known.mUpstream.mStartedAtMs = aDeparture.started_at_ms();
    known.mSequence = 0;
    known.mHeardAt = aNow;
  }
  if (known.mUpstream.mState == State::Ready || known.mChangedIn == 0) {
    known.mUpstream.mState = std::max(known.mUpstream.mState, State::Draining);
    Tell(aTable, id, known, What::Upstream);
  }
}

void
MarkSilent(AnnouncementTable& aTable, Base::Duration aSilence, Base::TimePoint aNow)
{
  for (auto& [id, upstream] : aTable.mUpstreams) {
    if (!upstream.mSilent && aNow - upstream.mHeardAt > aSilence) {
      upstream.mSilent = true;
      Tell(aTable, id, upstream, What::Presence);
    }
  }
}

void
ForgetSilent(AnnouncementTable& aTable, Base::TimePoint aNow)
{
  EraseIf(aTable, [aNow](const AnnouncedUpstream& aUpstream) {
    return aUpstream.mUpstream.mState == State::Ready && IsSilent(aUpstream, aNow);
  });
}

void
ForgetDeparted(AnnouncementTable& aTable, const lw::config::State& aState, Base::TimePoint aNow)
{
  std::set<std::pair<uint64_t, uint64_t>> logged;
  for (const lw::config::Departure& departure : aState.departures()) {
    logged.emplace(departure.upstream(), departure.started_at_ms());
  }
  EraseIf(aTable, [&](const AnnouncedUpstream& aUpstream) {
    const Upstream& upstream = aUpstream.mUpstream;
    return upstream.mState != State::Ready && IsSilent(aUpstream, aNow) &&
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
  size_t told = 0;
  for (auto next = aTable.mByRevision.upper_bound(known); next != aTable.mByRevision.end();
       ++next) {
    if (told++ == kMaxUpstreamsInReply) {
      aReply.set_directory_revision(std::prev(next)->first);
      aReply.set_more(true);
      return;
    }
    const AnnouncedUpstream& announced = aTable.mUpstreams.at(next->second);
    const Upstream& upstream = announced.mUpstream;
    if (announced.mChangedIn > known) {
      lw::fleet::Upstream& message = *aReply.add_upstreams();
      message = ToMessage(upstream, aNow - announced.mHeardAt, aNow);
      message.set_silent(announced.mSilent);
    } else {
      lw::fleet::Presence* presence = aReply.add_presences();
      presence->set_tag(TagOf(upstream.mId, upstream.mStartedAtMs).mValue);
      presence->set_age_ms(MillisecondsSince(announced.mHeardAt, aNow));
      presence->set_silent(announced.mSilent);
    }
  }
}

} // namespace Directory

#include "directory/mergeddirectory.h"

#include <algorithm>
#include <chrono>
#include <tuple>
#include <utility>

namespace Directory {

namespace {

using std::chrono::milliseconds;

/// Longer than the longest flow, so that the state of the upstream is still known when a late
/// packet of a flow arrives.
constexpr std::chrono::seconds kUpstreamRetention{ 120 };

const ZoneIndex kNoZones;
const ZoneUpstreams kNoUpstreams;

/// Adds an upstream whose tag is not in the directory.
void
Add(MergedDirectory& aDirectory, const MergedUpstream& aUpstream)
{
  const auto item = aDirectory.mByTag.emplace(aUpstream.mTag, aUpstream).first;
  AddToIndex(aDirectory.mByService, item->second);
}

/// The properties that the index depends on.
auto
IndexedProperties(const Upstream& aUpstream)
{
  return std::tie(aUpstream.mService,
                  aUpstream.mAvailabilityZone,
                  aUpstream.mId,
                  aUpstream.mStartedAtMs,
                  aUpstream.mState);
}

/// Replaces the properties of an upstream of the directory. Several control instances report the
/// same properties, which leave the index as it is.
void
SetProperties(MergedDirectory& aDirectory, MergedUpstream& aKnown, const Upstream& aProperties)
{
  if (IndexedProperties(aKnown.mUpstream) == IndexedProperties(aProperties)) {
    aKnown.mUpstream = aProperties;
    return;
  }
  RemoveFromIndex(aDirectory.mByService, aKnown);
  aKnown.mUpstream = aProperties;
  AddToIndex(aDirectory.mByService, aKnown);
}

void
MarkGone(MergedDirectory& aDirectory, RouteTag aTag, std::vector<RouteTag>& aRetired)
{
  const auto found = aDirectory.mByTag.find(aTag);
  if (found != aDirectory.mByTag.end() && found->second.mUpstream.mState != State::Gone) {
    Upstream gone = found->second.mUpstream;
    gone.mState = State::Gone;
    SetProperties(aDirectory, found->second, gone);
    aRetired.push_back(aTag);
  }
}

/// Assigns the address to the newer of two starts that announce it, and marks the other one as
/// gone.
void
AssignAddress(MergedDirectory& aDirectory,
              const MergedUpstream& aUpstream,
              std::vector<RouteTag>& aRetired)
{
  const auto [holder, added] =
    aDirectory.mByAddress.try_emplace(aUpstream.mUpstream.mAddress, aUpstream.mTag);
  if (added || holder->second == aUpstream.mTag) {
    return;
  }
  const MergedUpstream* other = Find(aDirectory, holder->second);
  if (other != nullptr && other->mUpstream.mStartedAtMs > aUpstream.mUpstream.mStartedAtMs) {
    MarkGone(aDirectory, aUpstream.mTag, aRetired);
    return;
  }
  const RouteTag before = std::exchange(holder->second, aUpstream.mTag);
  MarkGone(aDirectory, before, aRetired);
}

void
UpdatePresence(MergedUpstream& aUpstream, Base::InstanceId aControl, bool aSilent)
{
  auto& announcedTo = aUpstream.mAnnouncedTo;
  const auto found = std::find(announcedTo.begin(), announcedTo.end(), aControl);
  if (aSilent && found != announcedTo.end()) {
    announcedTo.erase(found);
  } else if (!aSilent && found == announcedTo.end()) {
    announcedTo.push_back(aControl);
  }
}

/// Removes the control instance from the upstreams that announce themselves to it, so that its
/// later replies no longer renew them. Keeps the time up to which they were renewed.
void
ClearPresence(MergedDirectory& aDirectory, Base::InstanceId aControl, Base::TimePoint aRepliedAt)
{
  for (auto& [tag, upstream] : aDirectory.mByTag) {
    auto& announcedTo = upstream.mAnnouncedTo;
    if (std::find(announcedTo.begin(), announcedTo.end(), aControl) != announcedTo.end()) {
      upstream.mLastAnnouncedAt = std::max(upstream.mLastAnnouncedAt, aRepliedAt);
      UpdatePresence(upstream, aControl, true);
    }
  }
}

void
MergeUpstream(MergedDirectory& aDirectory,
              Base::InstanceId aControl,
              const lw::fleet::Upstream& aMessage,
              Base::TimePoint aNow,
              std::vector<RouteTag>& aRetired)
{
  MergedUpstream next;
  next.mUpstream = FromMessage(aMessage, aNow);
  next.mTag = TagOf(next.mUpstream.mId, next.mUpstream.mStartedAtMs);
  next.mLastAnnouncedAt = aNow - milliseconds(aMessage.age_ms());
  const auto found = aDirectory.mByTag.find(next.mTag);
  if (found != aDirectory.mByTag.end()) {
    MergedUpstream& known = found->second;
    if (known.mUpstream.mId != next.mUpstream.mId) {
      return; // Tag collision: packets keep going to the upstream that was known first.
    }
    // A departure may arrive before the first announcement, and has no address.
    const bool hasAddress = next.mUpstream.mAddress.mPort != 0;
    const bool addressIsNew = hasAddress && known.mUpstream.mAddress.mPort == 0;
    const State before = known.mUpstream.mState;
    Upstream properties = hasAddress ? next.mUpstream : known.mUpstream;
    properties.mState = std::max(before, next.mUpstream.mState);
    known.mLastAnnouncedAt = std::max(known.mLastAnnouncedAt, next.mLastAnnouncedAt);
    UpdatePresence(known, aControl, aMessage.silent());
    SetProperties(aDirectory, known, properties);
    if (before == State::Ready && properties.mState != State::Ready) {
      aRetired.push_back(known.mTag);
    }
    if (addressIsNew) {
      AssignAddress(aDirectory, known, aRetired);
    }
    return;
  }
  const auto [newest, added] = aDirectory.mNewest.try_emplace(next.mUpstream.mId, next.mTag);
  if (!added) {
    const MergedUpstream* other = Find(aDirectory, newest->second);
    if (other != nullptr && other->mUpstream.mStartedAtMs > next.mUpstream.mStartedAtMs) {
      return;
    }
    MarkGone(aDirectory, std::exchange(newest->second, next.mTag), aRetired);
  }
  UpdatePresence(next, aControl, aMessage.silent());
  Add(aDirectory, next);
  if (next.mUpstream.mAddress.mPort != 0) {
    AssignAddress(aDirectory, next, aRetired);
  }
}

} // namespace

MergedDirectory::MergedDirectory(const MergedDirectory& aOther)
  : mByTag(aOther.mByTag)
  , mNewest(aOther.mNewest)
  , mByAddress(aOther.mByAddress)
  , mSources(aOther.mSources)
{
  for (const auto& [tag, upstream] : mByTag) {
    AddToIndex(mByService, upstream);
  }
}

MergedDirectory&
MergedDirectory::operator=(const MergedDirectory& aOther)
{
  return *this = MergedDirectory(aOther);
}

std::vector<RouteTag>
Merge(MergedDirectory& aDirectory,
      Base::InstanceId aControl,
      const lw::fleet::PollReply& aReply,
      Base::TimePoint aNow)
{
  DirectorySource& source = aDirectory.mSources[aControl];
  if (source.mEpoch != aReply.directory_epoch()) {
    ClearPresence(aDirectory, aControl, source.mRepliedAt);
    source.mEpoch = aReply.directory_epoch();
  }
  source.mRepliedAt = aNow;
  source.mConnected = aReply.connected();
  source.mComplete = !aReply.more();
  std::vector<RouteTag> retired;
  for (const lw::fleet::Upstream& upstream : aReply.upstreams()) {
    MergeUpstream(aDirectory, aControl, upstream, aNow, retired);
  }
  for (const lw::fleet::Presence& presence : aReply.presences()) {
    const auto found = aDirectory.mByTag.find(RouteTag(presence.tag()));
    if (found != aDirectory.mByTag.end()) {
      const Base::TimePoint announcedAt = aNow - milliseconds(presence.age_ms());
      found->second.mLastAnnouncedAt = std::max(found->second.mLastAnnouncedAt, announcedAt);
      UpdatePresence(found->second, aControl, presence.silent());
    }
  }
  return retired;
}

Base::TimePoint
LastAnnounced(const MergedDirectory& aDirectory, const MergedUpstream& aUpstream)
{
  Base::TimePoint announcedAt = aUpstream.mLastAnnouncedAt;
  for (const Base::InstanceId control : aUpstream.mAnnouncedTo) {
    const auto source = aDirectory.mSources.find(control);
    if (source != aDirectory.mSources.end()) {
      announcedAt = std::max(announcedAt, source->second.mRepliedAt);
    }
  }
  return announcedAt;
}

const MergedUpstream*
Find(const MergedDirectory& aDirectory, RouteTag aTag)
{
  const auto found = aDirectory.mByTag.find(aTag);
  return found == aDirectory.mByTag.end() ? nullptr : &found->second;
}

const ZoneIndex&
ZonesOf(const MergedDirectory& aDirectory, const std::string& aService)
{
  const auto found = aDirectory.mByService.find(aService);
  return found == aDirectory.mByService.end() ? kNoZones : found->second;
}

const ZoneUpstreams&
UpstreamsIn(const MergedDirectory& aDirectory,
            const std::string& aService,
            const std::string& aAvailabilityZone)
{
  const ZoneIndex& zones = ZonesOf(aDirectory, aService);
  const auto found = zones.find(aAvailabilityZone);
  return found == zones.end() ? kNoUpstreams : found->second;
}

void
Remove(MergedDirectory& aDirectory, RouteTag aTag)
{
  const auto item = aDirectory.mByTag.find(aTag);
  if (item == aDirectory.mByTag.end()) {
    return;
  }
  const MergedUpstream& upstream = item->second;
  const auto newest = aDirectory.mNewest.find(upstream.mUpstream.mId);
  if (newest != aDirectory.mNewest.end() && newest->second == aTag) {
    aDirectory.mNewest.erase(newest);
  }
  const auto holder = aDirectory.mByAddress.find(upstream.mUpstream.mAddress);
  if (holder != aDirectory.mByAddress.end() && holder->second == aTag) {
    aDirectory.mByAddress.erase(holder);
  }
  RemoveFromIndex(aDirectory.mByService, upstream);
  aDirectory.mByTag.erase(item);
}

void
RemoveExpiredUpstreams(MergedDirectory& aDirectory, Base::TimePoint aNow)
{
  std::vector<RouteTag> expired;
  for (const auto& [tag, upstream] : aDirectory.mByTag) {
    if (aNow - LastAnnounced(aDirectory, upstream) > kUpstreamRetention) {
      expired.push_back(tag);
    }
  }
  for (const RouteTag tag : expired) {
    Remove(aDirectory, tag);
  }
  for (auto item = aDirectory.mSources.begin(); item != aDirectory.mSources.end();) {
    const bool isExpired = aNow - item->second.mRepliedAt > kUpstreamRetention;
    item = isExpired ? aDirectory.mSources.erase(item) : std::next(item);
  }
}

} // namespace Directory

#include "directory/mergeddirectory.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace Directory {

namespace {

using std::chrono::milliseconds;

/// Longer than the longest flow, so that a late packet still finds what became of its upstream.
constexpr std::chrono::seconds kForgetAfter{ 120 };

void
Retire(MergedDirectory& aDirectory, RouteTag aTag, std::vector<RouteTag>& aRetired)
{
  const auto found = aDirectory.mByTag.find(aTag);
  if (found != aDirectory.mByTag.end() && found->second.mUpstream.mState != State::Gone) {
    found->second.mUpstream.mState = State::Gone;
    aRetired.push_back(aTag);
  }
}

/// The newer start at an address holds it; the other one has ended.
void
TakeAddress(MergedDirectory& aDirectory,
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
    Retire(aDirectory, aUpstream.mTag, aRetired);
    return;
  }
  const RouteTag before = std::exchange(holder->second, aUpstream.mTag);
  Retire(aDirectory, before, aRetired);
}

void
NotePresence(MergedUpstream& aUpstream, Base::InstanceId aControl, bool aSilent)
{
  auto& heardBy = aUpstream.mHeardBy;
  const auto found = std::find(heardBy.begin(), heardBy.end(), aControl);
  if (aSilent && found != heardBy.end()) {
    heardBy.erase(found);
  } else if (!aSilent && found == heardBy.end()) {
    heardBy.push_back(aControl);
  }
}

/// Keeps when the upstreams were last heard, but no longer counts later replies for them.
void
EndVouching(MergedDirectory& aDirectory, Base::InstanceId aControl, Base::TimePoint aRepliedAt)
{
  for (auto& [tag, upstream] : aDirectory.mByTag) {
    auto& heardBy = upstream.mHeardBy;
    if (std::find(heardBy.begin(), heardBy.end(), aControl) != heardBy.end()) {
      upstream.mHeardAt = std::max(upstream.mHeardAt, aRepliedAt);
      NotePresence(upstream, aControl, true);
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
  next.mHeardAt = aNow - milliseconds(aMessage.age_ms());
  const auto found = aDirectory.mByTag.find(next.mTag);
  if (found != aDirectory.mByTag.end()) {
    MergedUpstream& known = found->second;
    if (known.mUpstream.mId != next.mUpstream.mId) {
      return; // Two starts share a tag; packets keep going to the one that had it first.
    }
    // A departure may be known before the first announcement arrives.
    const bool hasAddress = next.mUpstream.mAddress.mPort != 0;
    const State before = known.mUpstream.mState;
    const State state = std::max(before, next.mUpstream.mState);
    known.mHeardAt = std::max(known.mHeardAt, next.mHeardAt);
    NotePresence(known, aControl, aMessage.silent());
    if (hasAddress) {
      known.mUpstream = next.mUpstream;
    }
    known.mUpstream.mState = state;
    if (before == State::Ready && state != State::Ready) {
      aRetired.push_back(known.mTag);
    }
    return;
  }
  const auto [newest, added] = aDirectory.mNewest.try_emplace(next.mUpstream.mId, next.mTag);
  if (!added) {
    const MergedUpstream* other = Find(aDirectory, newest->second);
    if (other != nullptr && other->mUpstream.mStartedAtMs > next.mUpstream.mStartedAtMs) {
      return;
    }
    Retire(aDirectory, std::exchange(newest->second, next.mTag), aRetired);
  }
  NotePresence(next, aControl, aMessage.silent());
  aDirectory.mByTag[next.mTag] = next;
  if (next.mUpstream.mAddress.mPort != 0) {
    TakeAddress(aDirectory, next, aRetired);
  }
}

} // namespace

std::vector<RouteTag>
Merge(MergedDirectory& aDirectory,
      Base::InstanceId aControl,
      const lw::fleet::PollReply& aReply,
      Base::TimePoint aNow)
{
  DirectorySource& source = aDirectory.mSources[aControl];
  if (source.mEpoch != aReply.directory_epoch()) {
    EndVouching(aDirectory, aControl, source.mRepliedAt);
    source.mEpoch = aReply.directory_epoch();
  }
  source.mRepliedAt = aNow;
  std::vector<RouteTag> retired;
  for (const lw::fleet::Upstream& upstream : aReply.upstreams()) {
    MergeUpstream(aDirectory, aControl, upstream, aNow, retired);
  }
  for (const lw::fleet::Presence& presence : aReply.presences()) {
    const auto found = aDirectory.mByTag.find(RouteTag(presence.tag()));
    if (found != aDirectory.mByTag.end()) {
      const Base::TimePoint heardAt = aNow - milliseconds(presence.age_ms());
      found->second.mHeardAt = std::max(found->second.mHeardAt, heardAt);
      NotePresence(found->second, aControl, presence.silent());
    }
  }
  return retired;
}

Base::TimePoint
LastHeard(const MergedDirectory& aDirectory, const MergedUpstream& aUpstream)
{
  Base::TimePoint heardAt = aUpstream.mHeardAt;
  for (const Base::InstanceId control : aUpstream.mHeardBy) {
    const auto source = aDirectory.mSources.find(control);
    if (source != aDirectory.mSources.end()) {
      heardAt = std::max(heardAt, source->second.mRepliedAt);
    }
  }
  return heardAt;
}

const MergedUpstream*
Find(const MergedDirectory& aDirectory, RouteTag aTag)
{
  const auto found = aDirectory.mByTag.find(aTag);
  return found == aDirectory.mByTag.end() ? nullptr : &found->second;
}

void
ForgetGone(MergedDirectory& aDirectory, Base::TimePoint aNow)
{
  for (auto item = aDirectory.mByTag.begin(); item != aDirectory.mByTag.end();) {
    const MergedUpstream& upstream = item->second;
    if (aNow - LastHeard(aDirectory, upstream) <= kForgetAfter) {
      ++item;
      continue;
    }
    const auto newest = aDirectory.mNewest.find(upstream.mUpstream.mId);
    if (newest != aDirectory.mNewest.end() && newest->second == upstream.mTag) {
      aDirectory.mNewest.erase(newest);
    }
    const auto holder = aDirectory.mByAddress.find(upstream.mUpstream.mAddress);
    if (holder != aDirectory.mByAddress.end() && holder->second == upstream.mTag) {
      aDirectory.mByAddress.erase(holder);
    }
    item = aDirectory.mByTag.erase(item);
  }
  for (auto item = aDirectory.mSources.begin(); item != aDirectory.mSources.end();) {
    const bool forgotten = aNow - item->second.mRepliedAt > kForgetAfter;
    item = forgotten ? aDirectory.mSources.erase(item) : std::next(item);
  }
}

} // namespace Directory

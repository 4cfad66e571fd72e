#include "distribution/follower.h"

#include "config/statemachine.h"

#include <algorithm>

namespace Distribution {

namespace {

using Membership::Member;
using Membership::MemberState;
using Membership::View;

bool
IsOtherAlive(const View& aView, const Member& aMember)
{
  return aMember.mId != aView.mSelf && aMember.mState == MemberState::Alive;
}

void
StoreRecentRevision(Follower& aFollower, const lw::config::Revision& aRevision)
{
  aFollower.mRecent.push_back(aRevision);
  if (aFollower.mRecent.size() > kMaxRecentRevisions) {
    aFollower.mRecent.pop_front();
  }
}

/// Applies the snapshot and the revisions of a reply that are newer than the local state.
/// \return the applied revisions, which are pushed to peers.
lw::feed::PullReply
ApplyReply(Follower& aFollower, const lw::feed::PullReply& aReply, Effects& aEffects)
{
  lw::feed::PullReply applied;
  if (aReply.has_snapshot() && aReply.snapshot().version() > aFollower.mState.version()) {
    aFollower.mState = aReply.snapshot();
    aFollower.mRecent.clear();
    aEffects.mStateChanged = true;
  }
  for (const lw::config::Revision& revision : aReply.revisions()) {
    if (revision.version() <= aFollower.mState.version()) {
      continue;
    }
    aEffects.mRefused = Config::ApplyRevision(aFollower.mState, revision);
    if (!aEffects.mRefused.ok()) {
      break;
    }
    StoreRecentRevision(aFollower, revision);
    *applied.add_revisions() = revision;
    aEffects.mStateChanged = true;
  }
  return applied;
}

void
Push(const FollowerSettings& aSettings,
     const View& aView,
     const lw::feed::PullReply& aApplied,
     Base::RandomSource& aRandom,
     Effects& aEffects)
{
  if (aApplied.revisions_size() == 0 || aApplied.ByteSizeLong() > aSettings.mMaxPeerReplyBytes) {
    return;
  }
  std::vector<Base::Endpoint> peers;
  for (const Member& member : aView.mMembers) {
    if (IsOtherAlive(aView, member)) {
      peers.push_back(member.mPeerEndpoint);
    }
  }
  lw::distribution::Message message;
  *message.mutable_revisions() = aApplied;
  const size_t count = std::min<size_t>(aSettings.mPushFanout, peers.size());
  for (size_t i = 0; i < count; ++i) {
    std::swap(peers[i], peers[i + Base::NextBelow(aRandom, peers.size() - i)]);
    aEffects.mToPeers.emplace_back(peers[i], message);
  }
}

void
AnswerPull(const Follower& aFollower,
           const FollowerSettings& aSettings,
           const Base::Endpoint& aTo,
           uint64_t aAfterVersion,
           Effects& aEffects)
{
  if (aAfterVersion >= aFollower.mState.version()) {
    return;
  }
  lw::distribution::Message message;
  lw::feed::PullReply* reply = message.mutable_revisions();
  const bool hasNext =
    !aFollower.mRecent.empty() && aFollower.mRecent.front().version() <= aAfterVersion + 1;
  if (!hasNext) {
    *reply->mutable_snapshot() = aFollower.mState;
  }
  for (const lw::config::Revision& revision : aFollower.mRecent) {
    if (hasNext && revision.version() > aAfterVersion) {
      *reply->add_revisions() = revision;
    }
  }
  if (message.ByteSizeLong() <= aSettings.mMaxPeerReplyBytes) {
    aEffects.mToPeers.emplace_back(aTo, message);
  }
}

/// Sends a pull to a random peer that has a newer version.
void
PullFromPeer(const Follower& aFollower,
             const View& aView,
             Base::RandomSource& aRandom,
             Effects& aEffects)
{
  std::vector<Base::Endpoint> ahead;
  for (const Member& member : aView.mMembers) {
    if (IsOtherAlive(aView, member) && member.mVersionInForce.mValue > aFollower.mState.version()) {
      ahead.push_back(member.mPeerEndpoint);
    }
  }
  if (ahead.empty()) {
    return;
  }
  lw::distribution::Message message;
  message.mutable_pull()->set_after_version(aFollower.mState.version());
  aEffects.mToPeers.emplace_back(ahead[Base::NextBelow(aRandom, ahead.size())], message);
}

void
AddReport(const Member& aMember, uint64_t aVersion, lw::feed::PullRequest& aRequest)
{
  lw::feed::InstanceReport* report = aRequest.add_reports();
  report->set_instance(aMember.mId.mValue);
  report->set_availability_zone(aMember.mAvailabilityZone);
  report->set_version_in_force(aVersion);
}

} // namespace

bool
IsRelay(const FollowerSettings& aSettings, const View& aView)
{
  uint32_t lower = 0;
  for (const Member& member : aView.mMembers) {
    const bool isPreferredRelay = IsOtherAlive(aView, member) && member.mId < aView.mSelf &&
                                  member.mAvailabilityZone == aView.mAvailabilityZone;
    lower += isPreferredRelay ? 1 : 0;
  }
  return lower < aSettings.mRelays;
}

Effects
Tick(Follower& aFollower,
     const FollowerSettings& aSettings,
     const View& aView,
     Base::RandomSource& aRandom,
     Base::TimePoint aNow)
{
  Effects effects;
  const bool isWithoutUpdates = aNow - aFollower.mLastUpdate >= aSettings.mControlPullFallbackDelay;
  const bool pullsFromControl = isWithoutUpdates || IsRelay(aSettings, aView);
  if (pullsFromControl && aNow >= aFollower.mNextControlPull) {
    aFollower.mNextControlPull = aNow + aSettings.mControlPullInterval;
    effects.mPullFromControl = true;
  }
  if (aNow >= aFollower.mNextPeerPull) {
    aFollower.mNextPeerPull = aNow + aSettings.mPeerPullInterval;
    PullFromPeer(aFollower, aView, aRandom, effects);
  }
  return effects;
}

lw::feed::PullRequest
MakeControlPull(const Follower& aFollower, const FollowerSettings& aSettings, const View& aView)
{
  lw::feed::PullRequest request;
  request.set_after_version(aFollower.mState.version());
  const bool isRelay = IsRelay(aSettings, aView);
  for (const Member& member : aView.mMembers) {
    if (member.mId == aView.mSelf) {
      AddReport(member, aFollower.mState.version(), request);
    } else if (isRelay && member.mAvailabilityZone == aView.mAvailabilityZone) {
      AddReport(member, member.mVersionInForce.mValue, request);
    }
  }
  return request;
}

Effects
OnControlReply(Follower& aFollower,
               const FollowerSettings& aSettings,
               const View& aView,
               const lw::feed::PullReply& aReply,
               Base::RandomSource& aRandom,
               Base::TimePoint aNow)
{
  Effects effects;
  aFollower.mLastUpdate = aNow;
  const lw::feed::PullReply applied = ApplyReply(aFollower, aReply, effects);
  Push(aSettings, aView, applied, aRandom, effects);
  return effects;
}

Effects
OnPeerMessage(Follower& aFollower,
              const FollowerSettings& aSettings,
              const View& aView,
              const Base::Endpoint& aFrom,
              const lw::distribution::Message& aMessage,
              Base::RandomSource& aRandom,
              Base::TimePoint aNow)
{
  Effects effects;
  if (aMessage.has_pull()) {
    AnswerPull(aFollower, aSettings, aFrom, aMessage.pull().after_version(), effects);
    return effects;
  }
  const lw::feed::PullReply applied = ApplyReply(aFollower, aMessage.revisions(), effects);
  if (effects.mStateChanged) {
    aFollower.mLastUpdate = aNow;
  }
  if (absl::IsOutOfRange(effects.mRefused)) {
    // An earlier revision is missing, so pull again without delay.
    aFollower.mNextPeerPull = aNow;
  }
  Push(aSettings, aView, applied, aRandom, effects);
  return effects;
}

} // namespace Distribution

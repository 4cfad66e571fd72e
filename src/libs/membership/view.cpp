#include "membership/view.h"

#include "base/hash.h"

#include <algorithm>

namespace Membership {

const Member*
FindMember(const View& aView, Base::InstanceId aId)
{
  const auto found = std::lower_bound(
    aView.mMembers.begin(),
    aView.mMembers.end(),
    aId,
    [](const Member& aMember, Base::InstanceId aOther) { return aMember.mId < aOther; });
  const bool hit = found != aView.mMembers.end() && found->mId == aId;
  return hit ? &*found : nullptr;
}

const Upstream*
FindUpstream(const View& aView,
             const Base::Endpoint& aEndpoint,
             Base::ServiceGeneration aGeneration)
{
  const auto found = std::lower_bound(aView.mUpstreams.begin(),
                                      aView.mUpstreams.end(),
                                      aEndpoint,
                                      [](const Upstream& aUpstream, const Base::Endpoint& aOther) {
                                        return aUpstream.mEndpoint < aOther;
                                      });
  const bool hit = found != aView.mUpstreams.end() && found->mEndpoint == aEndpoint &&
                   found->mGeneration == aGeneration;
  return hit ? &*found : nullptr;
}

const Member*
RendezvousMember(const View& aView, uint64_t aKey)
{
  const Member* best = nullptr;
  uint64_t bestScore = 0;
  for (const Member& member : aView.mMembers) {
    if (member.mState != MemberState::Alive) {
      continue;
    }
    const uint64_t score = Base::StableHash({ aKey, member.mId.mValue });
    if (best == nullptr || score > bestScore) {
      best = &member;
      bestScore = score;
    }
  }
  return best;
}

bool
TakesNewWork(const Upstream& aUpstream, Base::TimePoint aNow)
{
  return aUpstream.mState == UpstreamState::Active && IsUsable(aUpstream, aNow);
}

bool
IsUsable(const Upstream& aUpstream, Base::TimePoint aNow)
{
  return aNow >= aUpstream.mUsableFrom && aNow < aUpstream.mLeaseEnd;
}

} // namespace Membership

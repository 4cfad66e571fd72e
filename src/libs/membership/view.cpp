#include "membership/view.h"

#include "base/hash.h"

#include <algorithm>

namespace Membership {

namespace {

template<typename Predicate>
const Member*
SelectMember(const View& aView, uint64_t aKey, Predicate aIsEligible)
{
  const Member* best = nullptr;
  uint64_t bestScore = 0;
  for (const Member& member : aView.mMembers) {
    if (member.mState != MemberState::Alive || !aIsEligible(member)) {
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

} // namespace

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
  return SelectMember(aView, aKey, [](const Member&) { return true; });
}

const Member*
DispatcherOf(const View& aView, const Upstream& aUpstream)
{
  const uint64_t key = Base::Pack(aUpstream.mEndpoint);
  const Member* local = SelectMember(aView, key, [&aUpstream](const Member& aMember) {
    return aMember.mAvailabilityZone == aUpstream.mAvailabilityZone;
  });
  return local != nullptr ? local : RendezvousMember(aView, key);
}

bool
TakesNewWork(const Upstream& aUpstream, Base::TimePoint aNow)
{
  return aUpstream.mState == UpstreamState::Active && aUpstream.mNewWorkShare > 0 &&
         IsUsable(aUpstream, aNow);
}

bool
IsUsable(const Upstream& aUpstream, Base::TimePoint aNow)
{
  return aNow >= aUpstream.mUsableFrom && aNow < aUpstream.mLeaseEnd;
}

} // namespace Membership

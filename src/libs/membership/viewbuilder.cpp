#include "membership/viewbuilder.h"

#include "membership/claimorder.h"
#include "membership/records.h"

#include <algorithm>

namespace Membership {

namespace {

Upstream
MakeUpstream(const ClaimResolution& aResolution)
{
  const Claim& claim = *aResolution.mBest.mClaim;
  Upstream upstream;
  upstream.mEndpoint = claim.mEndpoint;
  upstream.mAvailabilityZone = claim.mAvailabilityZone;
  upstream.mService = claim.mService;
  upstream.mGeneration = claim.mGeneration;
  upstream.mStartId = claim.mStartId;
  upstream.mState =
    claim.mState == ClaimState::Draining ? UpstreamState::Draining : UpstreamState::Active;
  upstream.mSlots = claim.mSlots;
  upstream.mLoad = claim.mLoad;
  upstream.mLoadAt = claim.mLoadAt;
  upstream.mUsableFrom = aResolution.mStartedAt + kHoldDownTime;
  upstream.mLeaseEnd = aResolution.mLeaseEnd;
  upstream.mStartedAt = aResolution.mStartedAt;
  return upstream;
}

} // namespace

View
BuildView(const State& aState, Base::TimePoint aNow)
{
  View view;
  view.mSelf = aState.mSelf;
  view.mAvailabilityZone = FindRecord(aState, aState.mSelf)->mAvailabilityZone;
  view.mDeparted = aState.mDeparted;
  for (const auto& [id, record] : aState.mRecords) {
    if (!IsActiveMember(record)) {
      continue;
    }
    const bool alive = record.mState == lw::membership::ALIVE;
    view.mMembers.push_back({ id,
                              record.mAvailabilityZone,
                              record.mIncarnation,
                              record.mEndpoint,
                              alive ? MemberState::Alive : MemberState::Leaving,
                              record.mVersionInForce,
                              record.mSuccessor });
  }
  view.mIncarnation = FindRecord(aState, aState.mSelf)->mIncarnation;
  const std::vector<ClaimRef> claims = SortedClaims(aState);
  const ClaimRef* const end = claims.data() + claims.size();
  for (const ClaimRef* first = claims.data(); first != end;) {
    const ClaimRef* next = std::find_if(first, end, [first](const ClaimRef& aRef) {
      return aRef.mClaim->mEndpoint != first->mClaim->mEndpoint;
    });
    const ClaimResolution resolution = ResolveClaims(first, next, aNow);
    if (resolution.mBlocking && resolution.mLeaseEnd > aNow) {
      view.mUpstreams.push_back(MakeUpstream(resolution));
    }
    first = next;
  }
  return view;
}

} // namespace Membership

#include "membership/claimorder.h"

#include "membership/records.h"

#include <algorithm>
#include <tuple>

namespace Membership {

namespace {

/// The gossip delay limits how exactly an instance knows the start of a hold-down. Claims that
/// start within this interval are ordered by service generation, which is the same on all
/// instances.
constexpr Base::Duration kHoldDownPrecision = std::chrono::seconds(1);

uint32_t
HolderId(const ClaimRef& aRef)
{
  return aRef.mHolder != nullptr ? aRef.mHolder->mId.mValue : UINT32_MAX;
}

/// \return true if the claim reserves its address. A new claim does so even before the first
/// heartbeat of its holder starts the lease.
bool
IsBlocking(const ClaimRef& aRef, Base::TimePoint aNow)
{
  const Claim& claim = *aRef.mClaim;
  if (claim.mState != ClaimState::Active && claim.mState != ClaimState::Draining) {
    return false;
  }
  const bool awaitsHeartbeat = claim.mLeaseEnd == Base::TimePoint() && !claim.mOverdue &&
                               aRef.mHolder != nullptr && IsActiveMember(*aRef.mHolder);
  return claim.mLeaseEnd > aNow || awaitsHeartbeat;
}

/// Resolves the claims of one address within one service generation.
ClaimResolution
ResolveWithinService(const ClaimRef* aFirst, const ClaimRef* aEnd, Base::TimePoint aNow)
{
  ClaimResolution resolution;
  ClaimRef released;
  for (const ClaimRef* ref = aFirst; ref != aEnd; ++ref) {
    const Claim& claim = *ref->mClaim;
    const bool live = claim.mLeaseEnd > aNow;
    ClaimRef& best = claim.mState == ClaimState::Released ? released : resolution.mBest;
    const bool counts = claim.mState != ClaimState::Released || live;
    if (counts && (best.mClaim == nullptr || IsNewerAnnouncement(*ref, best))) {
      best = *ref;
    }
  }
  // A released claim with a valid lease is used until the claim of the next holder is known.
  if (resolution.mBest.mClaim == nullptr) {
    resolution.mBest = released;
  }
  if (resolution.mBest.mClaim == nullptr) {
    return resolution;
  }
  resolution.mStartedAt = resolution.mBest.mClaim->mStartedAt;
  resolution.mLeaseEnd = resolution.mBest.mClaim->mLeaseEnd;
  for (const ClaimRef* ref = aFirst; ref != aEnd; ++ref) {
    const bool sameStart = ref->mClaim->mStartId == resolution.mBest.mClaim->mStartId;
    if (sameStart && ref->mClaim->mLeaseEnd > aNow) {
      resolution.mStartedAt = std::min(resolution.mStartedAt, ref->mClaim->mStartedAt);
      resolution.mLeaseEnd = std::max(resolution.mLeaseEnd, ref->mClaim->mLeaseEnd);
    }
  }
  const ClaimState state = resolution.mBest.mClaim->mState;
  resolution.mBlocking = state != ClaimState::Left &&
                         (resolution.mLeaseEnd > aNow || IsBlocking(resolution.mBest, aNow));
  return resolution;
}

bool
IsStronger(const ClaimResolution& aLeft, const ClaimResolution& aRight)
{
  if (aLeft.mBest.mClaim == nullptr || aRight.mBest.mClaim == nullptr) {
    return aLeft.mBest.mClaim != nullptr;
  }
  if (aLeft.mBlocking != aRight.mBlocking) {
    return aLeft.mBlocking;
  }
  const Base::Duration later = aLeft.mStartedAt - aRight.mStartedAt;
  if (later > kHoldDownPrecision || later < -kHoldDownPrecision) {
    return later < Base::Duration::zero();
  }
  return aLeft.mBest.mClaim->mGeneration < aRight.mBest.mClaim->mGeneration;
}

bool
IsBeforeInOrder(const ClaimRef& aLeft, const ClaimRef& aRight)
{
  return std::tie(aLeft.mClaim->mEndpoint, aLeft.mClaim->mGeneration) <
         std::tie(aRight.mClaim->mEndpoint, aRight.mClaim->mGeneration);
}

template<typename Predicate>
std::vector<ClaimRef>
Collect(const State& aState, const Predicate& aWanted)
{
  std::vector<ClaimRef> refs;
  for (const auto& [id, record] : aState.mRecords) {
    for (const Claim& claim : record.mClaims) {
      if (aWanted(claim)) {
        refs.push_back({ &claim, &record });
      }
    }
  }
  for (const Claim& claim : aState.mOrphans) {
    if (aWanted(claim)) {
      refs.push_back({ &claim, nullptr });
    }
  }
  std::sort(refs.begin(), refs.end(), IsBeforeInOrder);
  return refs;
}

} // namespace

bool
IsNewerAnnouncement(const ClaimRef& aLeft, const ClaimRef& aRight)
{
  const uint32_t leftId = HolderId(aLeft);
  const uint32_t rightId = HolderId(aRight);
  // The ids are swapped because the lower holder id wins between equal announcements.
  return std::tie(aLeft.mClaim->mStartId, aLeft.mClaim->mPublishedSequence, rightId) >
         std::tie(aRight.mClaim->mStartId, aRight.mClaim->mPublishedSequence, leftId);
}

std::vector<ClaimRef>
SortedClaims(const State& aState)
{
  return Collect(aState, [](const Claim& aClaim) { return aClaim.mEndpoint.mPort != 0; });
}

std::vector<ClaimRef>
ClaimsOf(const State& aState, const Base::Endpoint& aEndpoint)
{
  return Collect(aState,
                 [&aEndpoint](const Claim& aClaim) { return aClaim.mEndpoint == aEndpoint; });
}

ClaimResolution
ResolveClaims(const ClaimRef* aFirst, const ClaimRef* aEnd, Base::TimePoint aNow)
{
  ClaimResolution best;
  while (aFirst != aEnd) {
    const ClaimRef* next = std::find_if(aFirst, aEnd, [aFirst](const ClaimRef& aRef) {
      return aRef.mClaim->mGeneration != aFirst->mClaim->mGeneration;
    });
    const ClaimResolution resolution = ResolveWithinService(aFirst, next, aNow);
    if (IsStronger(resolution, best)) {
      best = resolution;
    }
    aFirst = next;
  }
  return best;
}

} // namespace Membership

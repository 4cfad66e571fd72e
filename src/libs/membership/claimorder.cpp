#include "membership/claimorder.h"

#include "membership/records.h"

#include <algorithm>
#include <tuple>

namespace Membership {

namespace {

/// Instances know the start of a hold only to within the delay of gossip. Claims closer together
/// than this are ordered by generation, on which all instances agree.
constexpr Base::Duration kHoldPrecision = std::chrono::seconds(1);

uint32_t
HolderId(const ClaimRef& aRef)
{
  return aRef.mHolder != nullptr ? aRef.mHolder->mId.mValue : UINT32_MAX;
}

/// A new claim has no lease until the first beat of its holder arrives, and blocks already.
bool
IsBlocking(const ClaimRef& aRef, Base::TimePoint aNow)
{
  const Claim& claim = *aRef.mClaim;
  if (claim.mState != ClaimState::Active && claim.mState != ClaimState::Draining) {
    return false;
  }
  const bool awaitsBeat = claim.mLeaseEnd == Base::TimePoint() && !claim.mOverdue &&
                          aRef.mHolder != nullptr && IsInRing(*aRef.mHolder);
  return claim.mLeaseEnd > aNow || awaitsBeat;
}

/// Decides between claims of one address in one service generation.
Verdict
DecideWithinService(const ClaimRef* aFirst, const ClaimRef* aEnd, Base::TimePoint aNow)
{
  Verdict verdict;
  ClaimRef released;
  for (const ClaimRef* ref = aFirst; ref != aEnd; ++ref) {
    const Claim& claim = *ref->mClaim;
    const bool live = claim.mLeaseEnd > aNow;
    ClaimRef& best = claim.mState == ClaimState::Released ? released : verdict.mBest;
    const bool counts = claim.mState != ClaimState::Released || live;
    if (counts && (best.mClaim == nullptr || IsNewerAnnouncement(*ref, best))) {
      best = *ref;
    }
  }
  // A released claim with a live lease counts until the claim of the next holder is known.
  if (verdict.mBest.mClaim == nullptr) {
    verdict.mBest = released;
  }
  if (verdict.mBest.mClaim == nullptr) {
    return verdict;
  }
  verdict.mStartedAt = verdict.mBest.mClaim->mStartedAt;
  verdict.mLeaseEnd = verdict.mBest.mClaim->mLeaseEnd;
  for (const ClaimRef* ref = aFirst; ref != aEnd; ++ref) {
    const bool sameStart = ref->mClaim->mStartId == verdict.mBest.mClaim->mStartId;
    if (sameStart && ref->mClaim->mLeaseEnd > aNow) {
      verdict.mStartedAt = std::min(verdict.mStartedAt, ref->mClaim->mStartedAt);
      verdict.mLeaseEnd = std::max(verdict.mLeaseEnd, ref->mClaim->mLeaseEnd);
    }
  }
  const ClaimState state = verdict.mBest.mClaim->mState;
  verdict.mBlocking =
    state != ClaimState::Left && (verdict.mLeaseEnd > aNow || IsBlocking(verdict.mBest, aNow));
  return verdict;
}

bool
IsStronger(const Verdict& aLeft, const Verdict& aRight)
{
  if (aLeft.mBest.mClaim == nullptr || aRight.mBest.mClaim == nullptr) {
    return aLeft.mBest.mClaim != nullptr;
  }
  if (aLeft.mBlocking != aRight.mBlocking) {
    return aLeft.mBlocking;
  }
  const Base::Duration later = aLeft.mStartedAt - aRight.mStartedAt;
  if (later > kHoldPrecision || later < -kHoldPrecision) {
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
  // With equal announcements the lower holder id counts, hence the swapped ids.
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

Verdict
Decide(const ClaimRef* aFirst, const ClaimRef* aEnd, Base::TimePoint aNow)
{
  Verdict best;
  while (aFirst != aEnd) {
    const ClaimRef* next = std::find_if(aFirst, aEnd, [aFirst](const ClaimRef& aRef) {
      return aRef.mClaim->mGeneration != aFirst->mClaim->mGeneration;
    });
    const Verdict verdict = DecideWithinService(aFirst, next, aNow);
    if (IsStronger(verdict, best)) {
      best = verdict;
    }
    aFirst = next;
  }
  return best;
}

} // namespace Membership

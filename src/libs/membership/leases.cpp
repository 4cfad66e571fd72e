#include "membership/leases.h"

#include "base/hash.h"
#include "membership/claimcodec.h"
#include "membership/claimorder.h"
#include "membership/compose.h"
#include "membership/records.h"
#include "membership/retirement.h"

#include <algorithm>
#include <tuple>

namespace Membership {

namespace {

/// A renewal makes this instance the holder when less is left of the lease that it knows: the
/// holder's beats come too late. The value leaves time for the change to reach all instances.
constexpr Base::Duration kTakeoverMargin = std::chrono::milliseconds(2000);
/// A claim without any beat of its holder counts as new for this time.
constexpr Base::Duration kNewClaimTime = std::chrono::seconds(2);

Claim*
FindOwnClaim(State& aState, const Base::Endpoint& aEndpoint)
{
  for (Claim& claim : OwnRecord(aState).mClaims) {
    if (claim.mEndpoint == aEndpoint) {
      return &claim;
    }
  }
  return nullptr;
}

void
Publish(State& aState, Claim& aClaim)
{
  aClaim.mPublishedSequence = aClaim.mSequence;
  aClaim.mCounter = AdvanceOwnCounter(aState);
}

void
Release(State& aState, Claim& aClaim, Base::TimePoint aNow)
{
  aClaim.mState = ClaimState::Released;
  aClaim.mRenewedAt = aNow;
  RetireAddress(aState, aClaim, aNow);
  Publish(aState, aClaim);
}

void
Renew(State& aState, const Settings& aSettings, Claim& aClaim, Base::TimePoint aAt)
{
  aClaim.mRenewedAt = std::max(aClaim.mRenewedAt, aAt);
  aClaim.mLeaseEnd = aClaim.mRenewedAt + aSettings.mLease;
  if (aClaim.mOverdue) {
    aClaim.mOverdue = false;
    Publish(aState, aClaim);
  }
}

bool
IsStale(const State& aState, const Announcement& aAnnouncement, const Verdict& aKnown)
{
  const auto offered = std::tie(aAnnouncement.mStartId, aAnnouncement.mSequence);
  const Claim* known = aKnown.mBest.mClaim;
  if (known != nullptr && offered < std::tie(known->mStartId, known->mSequence)) {
    return true;
  }
  const auto retired = aState.mRetired.find(aAnnouncement.mEndpoint);
  return retired != aState.mRetired.end() &&
         offered < std::tie(retired->second.mStartId, retired->second.mSequence);
}

bool
IsChange(const Announcement& aAnnouncement, const Claim& aKnown)
{
  return std::tie(aAnnouncement.mStartId, aAnnouncement.mState, aAnnouncement.mSlots) !=
         std::tie(aKnown.mStartId, aKnown.mState, aKnown.mSlots);
}

/// \return true if the holder of the known claim can be left in charge of a plain renewal.
bool
IsHolderFit(const Verdict& aKnown, Base::TimePoint aNow)
{
  const Record* holder = aKnown.mBest.mHolder;
  const Claim& claim = *aKnown.mBest.mClaim;
  if (holder == nullptr || !IsInRing(*holder) || holder->mState != lw::membership::ALIVE ||
      claim.mOverdue) {
    return false;
  }
  if (claim.mLeaseEnd == Base::TimePoint()) {
    return aNow - claim.mRenewedAt < kNewClaimTime;
  }
  return aKnown.mLeaseEnd - aNow >= kTakeoverMargin;
}

lw::membership::Renewal
MakeRenewal(const Announcement& aAnnouncement)
{
  lw::membership::Renewal renewal;
  renewal.set_address(aAnnouncement.mEndpoint.mAddress);
  renewal.set_port(aAnnouncement.mEndpoint.mPort);
  renewal.set_start_id(aAnnouncement.mStartId);
  renewal.set_sequence(aAnnouncement.mSequence);
  renewal.set_load(aAnnouncement.mLoad);
  return renewal;
}

void
PassOn(const State& aState,
       Base::InstanceId aTo,
       const Announcement& aAnnouncement,
       Base::TimePoint aNow,
       AnnounceResult& aResult)
{
  const Record* record = FindRecord(aState, aTo);
  if (aTo == aState.mSelf || record == nullptr) {
    return;
  }
  aResult.mOutbox.push_back({ aTo, record->mEndpoint, {} });
  lw::membership::Message& message = aResult.mOutbox.back().mMessage;
  *message.add_renewals() = MakeRenewal(aAnnouncement);
  AddCommonFields(aState, aNow, message);
}

void
ReportLoad(State& aState, const Announcement& aAnnouncement, Base::TimePoint aNow)
{
  for (auto& [id, record] : aState.mRecords) {
    for (Claim& claim : record.mClaims) {
      if (claim.mEndpoint == aAnnouncement.mEndpoint && claim.mStartId == aAnnouncement.mStartId) {
        claim.mLoad = aAnnouncement.mLoad;
        claim.mLoadAt = aNow;
      }
    }
  }
}

/// Makes this instance the holder of the upstream's lease.
/// \param aHeardAt is the time of the call.
void
Hold(State& aState,
     const Settings& aSettings,
     const Announcement& aAnnouncement,
     const Verdict& aKnown,
     Base::TimePoint aHeardAt,
     Base::TimePoint aNow)
{
  const bool continues = aKnown.mBlocking &&
                         aKnown.mBest.mClaim->mGeneration == aAnnouncement.mGeneration &&
                         aKnown.mBest.mClaim->mStartId == aAnnouncement.mStartId;
  Claim claim;
  claim.mEndpoint = aAnnouncement.mEndpoint;
  claim.mAvailabilityZone = OwnRecord(aState).mAvailabilityZone;
  claim.mService = aAnnouncement.mService;
  claim.mGeneration = aAnnouncement.mGeneration;
  claim.mStartId = aAnnouncement.mStartId;
  claim.mSequence = aAnnouncement.mSequence;
  claim.mState = aAnnouncement.mState;
  claim.mSlots = aAnnouncement.mSlots;
  claim.mLoad = aAnnouncement.mLoad;
  claim.mLoadAt = aHeardAt;
  claim.mStartedAt = continues ? aKnown.mStartedAt : aNow;
  claim.mRenewedAt = aHeardAt;
  claim.mLeaseEnd = claim.mState == ClaimState::Left ? aNow : aHeardAt + aSettings.mLease;
  if (aKnown.mBest.mHolder != nullptr && aKnown.mBest.mHolder->mId != aState.mSelf) {
    ++aState.mCounts.mTakeovers;
  }
  Claim* own = FindOwnClaim(aState, aAnnouncement.mEndpoint);
  if (own == nullptr) {
    own = &OwnRecord(aState).mClaims.emplace_back();
  }
  *own = std::move(claim);
  Publish(aState, *own);
  aState.mPassedRenewals.erase(aAnnouncement.mEndpoint);
}

/// \return the lease that the caller is told of.
Base::Duration
LeaseOf(const Settings& aSettings, const Announcement& aAnnouncement)
{
  return aAnnouncement.mState == ClaimState::Left ? Base::Duration::zero() : aSettings.mLease;
}

} // namespace

AnnounceResult
Announce(State& aState,
         const Settings& aSettings,
         const Announcement& aAnnouncement,
         Base::TimePoint aNow)
{
  AnnounceResult result;
  if (!aState.mReady || OwnRecord(aState).mState != lw::membership::ALIVE) {
    result.mOutcome = AnnounceOutcome::Unavailable;
    return result;
  }
  UpdateOwnClaims(aState, aSettings, aNow);
  const std::vector<ClaimRef> claims = ClaimsOf(aState, aAnnouncement.mEndpoint);
  const Verdict known = Decide(claims.data(), claims.data() + claims.size(), aNow);
  if (IsStale(aState, aAnnouncement, known)) {
    ++aState.mCounts.mStaleAnnouncements;
    result.mOutcome = AnnounceOutcome::Stale;
    return result;
  }
  const Claim* best = known.mBest.mClaim;
  const bool sameService = best != nullptr && best->mGeneration == aAnnouncement.mGeneration;
  if (known.mBlocking && !sameService) {
    ++aState.mCounts.mRefusedAddresses;
    result.mOutcome = AnnounceOutcome::AddressInUse;
    return result;
  }
  result.mLease = LeaseOf(aSettings, aAnnouncement);
  const bool repeated = sameService && std::tie(best->mStartId, best->mSequence) ==
                                         std::tie(aAnnouncement.mStartId, aAnnouncement.mSequence);
  if (repeated) {
    // A retried call brings no news, and its delay is unknown, so it does not renew the lease.
    return result;
  }
  const Base::InstanceId dispatcher = LoadReceiver(aState, aAnnouncement.mEndpoint);
  const bool plain =
    known.mBlocking && best->mState != ClaimState::Released && !IsChange(aAnnouncement, *best);
  if (plain && known.mBest.mHolder == &OwnRecord(aState)) {
    Claim& own = *FindOwnClaim(aState, aAnnouncement.mEndpoint);
    own.mSequence = aAnnouncement.mSequence;
    Renew(aState, aSettings, own, aNow);
  } else if (plain && IsHolderFit(known, aNow)) {
    ++aState.mCounts.mForwardedRenewals;
    aState.mPassedRenewals[aAnnouncement.mEndpoint] = { aAnnouncement, aNow };
    PassOn(aState, known.mBest.mHolder->mId, aAnnouncement, aNow, result);
    if (known.mBest.mHolder->mId == dispatcher) {
      return result;
    }
  } else {
    Hold(aState, aSettings, aAnnouncement, known, aNow, aNow);
  }
  ReportLoad(aState, aAnnouncement, aNow);
  PassOn(aState, dispatcher, aAnnouncement, aNow, result);
  return result;
}

void
ApplyRenewal(State& aState,
             const Settings& aSettings,
             const lw::membership::Renewal& aRenewal,
             Base::TimePoint aArrival)
{
  const std::optional<Base::Endpoint> endpoint =
    DecodeEndpoint(aRenewal.address(), aRenewal.port());
  if (!endpoint) {
    ++aState.mCounts.mRejectedMessages;
    return;
  }
  Announcement report;
  report.mEndpoint = *endpoint;
  report.mStartId = aRenewal.start_id();
  report.mLoad = aRenewal.load();
  ReportLoad(aState, report, aArrival);
  Claim* own = FindOwnClaim(aState, *endpoint);
  const bool renews = own != nullptr && own->mStartId == aRenewal.start_id() &&
                      own->mSequence < aRenewal.sequence() &&
                      (own->mState == ClaimState::Active || own->mState == ClaimState::Draining);
  if (renews) {
    own->mSequence = aRenewal.sequence();
    Renew(aState, aSettings, *own, aArrival);
  }
}

void
UpdateOwnClaims(State& aState, const Settings& aSettings, Base::TimePoint aNow)
{
  for (Claim& claim : OwnRecord(aState).mClaims) {
    if (claim.mState != ClaimState::Active && claim.mState != ClaimState::Draining) {
      continue;
    }
    if (aNow >= claim.mLeaseEnd) {
      ++aState.mCounts.mExpired;
      Release(aState, claim, aNow);
    } else if (!claim.mOverdue && aNow - claim.mRenewedAt > aSettings.mCoverage) {
      ++aState.mCounts.mOverdue;
      claim.mOverdue = true;
      Publish(aState, claim);
    }
  }
}

void
TakeOverSilentLeases(State& aState, const Settings& aSettings, Base::TimePoint aNow)
{
  if (OwnRecord(aState).mState != lw::membership::ALIVE) {
    aState.mPassedRenewals.clear();
    return;
  }
  std::vector<PassedRenewal> due;
  for (auto passed = aState.mPassedRenewals.begin(); passed != aState.mPassedRenewals.end();) {
    const PassedRenewal& renewal = passed->second;
    const std::vector<ClaimRef> claims = ClaimsOf(aState, passed->first);
    const Verdict known = Decide(claims.data(), claims.data() + claims.size(), aNow);
    const Claim* best = known.mBest.mClaim;
    const bool over = aNow - renewal.mAt > aSettings.mCoverage || !known.mBlocking ||
                      best->mGeneration != renewal.mAnnouncement.mGeneration ||
                      IsStale(aState, renewal.mAnnouncement, known) ||
                      IsChange(renewal.mAnnouncement, *best);
    if (!over && !IsHolderFit(known, aNow)) {
      due.push_back(renewal);
    }
    passed = over ? aState.mPassedRenewals.erase(passed) : std::next(passed);
  }
  for (const PassedRenewal& renewal : due) {
    const std::vector<ClaimRef> claims = ClaimsOf(aState, renewal.mAnnouncement.mEndpoint);
    const Verdict known = Decide(claims.data(), claims.data() + claims.size(), aNow);
    Hold(aState, aSettings, renewal.mAnnouncement, known, renewal.mAt, aNow);
  }
}

void
ResolveConflicts(State& aState, Base::InstanceId aOther, Base::TimePoint aNow)
{
  const Record* other = FindRecord(aState, aOther);
  if (other == nullptr || aOther == aState.mSelf) {
    return;
  }
  for (const Claim& claim : other->mClaims) {
    Claim* own = FindOwnClaim(aState, claim.mEndpoint);
    if (own == nullptr || own->mState == ClaimState::Left || own->mState == ClaimState::Released) {
      continue;
    }
    const std::vector<ClaimRef> claims = ClaimsOf(aState, claim.mEndpoint);
    const Verdict verdict = Decide(claims.data(), claims.data() + claims.size(), aNow);
    if (verdict.mBest.mClaim != own) {
      if (verdict.mBest.mClaim->mGeneration != own->mGeneration) {
        // The address stays in the other service; this claim must not outlive that decision.
        own->mLeaseEnd = aNow;
        ++aState.mCounts.mRefusedAddresses;
      }
      Release(aState, *own, aNow);
    }
  }
}

void
KeepServices(State& aState,
             const std::set<Base::ServiceGeneration>& aGenerations,
             Base::TimePoint aNow)
{
  for (Claim& claim : OwnRecord(aState).mClaims) {
    const bool held = claim.mState == ClaimState::Active || claim.mState == ClaimState::Draining;
    if (held && aGenerations.count(claim.mGeneration) == 0) {
      claim.mLeaseEnd = aNow;
      Release(aState, claim, aNow);
    }
  }
}

Base::InstanceId
LoadReceiver(const State& aState, const Base::Endpoint& aUpstream)
{
  // This instance is alive and in the upstream's availability zone, so one is always found.
  const std::string& zone = FindRecord(aState, aState.mSelf)->mAvailabilityZone;
  const uint64_t key = Base::Pack(aUpstream);
  Base::InstanceId best = aState.mSelf;
  uint64_t bestScore = Base::StableHash({ key, aState.mSelf.mValue });
  for (const auto& [id, record] : aState.mRecords) {
    const bool eligible = IsInRing(record) && record.mState == lw::membership::ALIVE &&
                          record.mAvailabilityZone == zone;
    const uint64_t score = eligible ? Base::StableHash({ key, id.mValue }) : 0;
    if (score > bestScore) {
      best = id;
      bestScore = score;
    }
  }
  return best;
}

} // namespace Membership

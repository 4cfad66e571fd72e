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

/// If less than this remains of the known lease, the heartbeats of the holder arrive too late, and
/// a renewal makes this instance the holder. Leaves time for the change to reach all instances.
constexpr Base::Duration kTakeoverMargin = std::chrono::milliseconds(2000);
/// The holder of a new claim has this time to send its first heartbeat before renewals take the
/// claim over.
constexpr Base::Duration kNewClaimGracePeriod = std::chrono::seconds(2);

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
IsStale(const State& aState, const Announcement& aAnnouncement, const ClaimResolution& aKnown)
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

/// \return true if the holder of the known claim is able to process a renewal.
bool
CanHolderRenew(const ClaimResolution& aKnown, Base::TimePoint aNow)
{
  const Record* holder = aKnown.mBest.mHolder;
  const Claim& claim = *aKnown.mBest.mClaim;
  if (holder == nullptr || !IsActiveMember(*holder) || holder->mState != lw::membership::ALIVE ||
      claim.mOverdue) {
    return false;
  }
  if (claim.mLeaseEnd == Base::TimePoint()) {
    return aNow - claim.mRenewedAt < kNewClaimGracePeriod;
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
ForwardAnnouncement(const State& aState,
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
StoreLoadReport(State& aState, const Announcement& aAnnouncement, Base::TimePoint aNow)
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
/// \param aAnnouncedAt is the time of the upstream's call.
void
BecomeLeaseHolder(State& aState,
                  const Settings& aSettings,
                  const Announcement& aAnnouncement,
                  const ClaimResolution& aKnown,
                  Base::TimePoint aAnnouncedAt,
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
  claim.mLoadAt = aAnnouncedAt;
  claim.mStartedAt = continues ? aKnown.mStartedAt : aNow;
  claim.mRenewedAt = aAnnouncedAt;
  claim.mLeaseEnd = claim.mState == ClaimState::Left ? aNow : aAnnouncedAt + aSettings.mLease;
  if (aKnown.mBest.mHolder != nullptr && aKnown.mBest.mHolder->mId != aState.mSelf) {
    ++aState.mCounts.mTakeovers;
  }
  Claim* own = FindOwnClaim(aState, aAnnouncement.mEndpoint);
  if (own == nullptr) {
    own = &OwnRecord(aState).mClaims.emplace_back();
  }
  *own = std::move(claim);
  Publish(aState, *own);
  aState.mPendingForwards.erase(aAnnouncement.mEndpoint);
}

/// \return the lease time that is returned to the upstream.
Base::Duration
GrantedLease(const Settings& aSettings, const Announcement& aAnnouncement)
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
  const ClaimResolution known = ResolveClaims(claims.data(), claims.data() + claims.size(), aNow);
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
  result.mLease = GrantedLease(aSettings, aAnnouncement);
  const bool repeated = sameService && std::tie(best->mStartId, best->mSequence) ==
                                         std::tie(aAnnouncement.mStartId, aAnnouncement.mSequence);
  if (repeated) {
    // A retried call carries no new information and has an unknown delay, so it does not renew the
    // lease.
    return result;
  }
  const Base::InstanceId dispatcher = LoadReceiver(aState, aAnnouncement.mEndpoint);
  const bool plain =
    known.mBlocking && best->mState != ClaimState::Released && !IsChange(aAnnouncement, *best);
  if (plain && known.mBest.mHolder == &OwnRecord(aState)) {
    Claim& own = *FindOwnClaim(aState, aAnnouncement.mEndpoint);
    own.mSequence = aAnnouncement.mSequence;
    Renew(aState, aSettings, own, aNow);
  } else if (plain && CanHolderRenew(known, aNow)) {
    ++aState.mCounts.mForwardedRenewals;
    aState.mPendingForwards[aAnnouncement.mEndpoint] = { aAnnouncement, aNow };
    ForwardAnnouncement(aState, known.mBest.mHolder->mId, aAnnouncement, aNow, result);
    if (known.mBest.mHolder->mId == dispatcher) {
      return result;
    }
  } else {
    BecomeLeaseHolder(aState, aSettings, aAnnouncement, known, aNow, aNow);
  }
  StoreLoadReport(aState, aAnnouncement, aNow);
  ForwardAnnouncement(aState, dispatcher, aAnnouncement, aNow, result);
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
  StoreLoadReport(aState, report, aArrival);
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
    } else if (!claim.mOverdue && aNow - claim.mRenewedAt > aSettings.mRenewalWindow) {
      ++aState.mCounts.mOverdue;
      claim.mOverdue = true;
      Publish(aState, claim);
    }
  }
}

void
TakeOverFromUnresponsiveHolders(State& aState, const Settings& aSettings, Base::TimePoint aNow)
{
  if (OwnRecord(aState).mState != lw::membership::ALIVE) {
    aState.mPendingForwards.clear();
    return;
  }
  std::vector<PendingForward> due;
  for (auto pending = aState.mPendingForwards.begin(); pending != aState.mPendingForwards.end();) {
    const PendingForward& renewal = pending->second;
    const std::vector<ClaimRef> claims = ClaimsOf(aState, pending->first);
    const ClaimResolution known = ResolveClaims(claims.data(), claims.data() + claims.size(), aNow);
    const Claim* best = known.mBest.mClaim;
    const bool over = aNow - renewal.mAt > aSettings.mRenewalWindow || !known.mBlocking ||
                      best->mGeneration != renewal.mAnnouncement.mGeneration ||
                      IsStale(aState, renewal.mAnnouncement, known) ||
                      IsChange(renewal.mAnnouncement, *best);
    if (!over && !CanHolderRenew(known, aNow)) {
      due.push_back(renewal);
    }
    pending = over ? aState.mPendingForwards.erase(pending) : std::next(pending);
  }
  for (const PendingForward& renewal : due) {
    const std::vector<ClaimRef> claims = ClaimsOf(aState, renewal.mAnnouncement.mEndpoint);
    const ClaimResolution known = ResolveClaims(claims.data(), claims.data() + claims.size(), aNow);
    BecomeLeaseHolder(aState, aSettings, renewal.mAnnouncement, known, renewal.mAt, aNow);
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
    const ClaimResolution resolution =
      ResolveClaims(claims.data(), claims.data() + claims.size(), aNow);
    if (resolution.mBest.mClaim != own) {
      if (resolution.mBest.mClaim->mGeneration != own->mGeneration) {
        // The address stays with the other service, so the lease of this claim ends now.
        own->mLeaseEnd = aNow;
        ++aState.mCounts.mRefusedAddresses;
      }
      Release(aState, *own, aNow);
    }
  }
}

void
ReleaseRemovedServices(State& aState,
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
  // This instance is alive and in the upstream's availability zone, so there is always a candidate.
  const std::string& zone = FindRecord(aState, aState.mSelf)->mAvailabilityZone;
  const uint64_t key = Base::Pack(aUpstream);
  Base::InstanceId best = aState.mSelf;
  uint64_t bestScore = Base::StableHash({ key, aState.mSelf.mValue });
  for (const auto& [id, record] : aState.mRecords) {
    const bool eligible = IsActiveMember(record) && record.mState == lw::membership::ALIVE &&
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

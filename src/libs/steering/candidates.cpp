#include "steering/candidates.h"

#include <algorithm>

namespace Steering::Internal {

namespace {

/// Added to the cost of an upstream in a remote availability zone, in flows per slot. With a lower
/// penalty, flows cross availability zones while local slots are free, and fail if the link between
/// the zones fails.
constexpr double kRemotePenalty = 0.75;

} // namespace

uint32_t
Saturate(uint64_t aNumber)
{
  return static_cast<uint32_t>(std::min<uint64_t>(aNumber, UINT32_MAX));
}

Candidate
MakeCandidate(const ChoiceInput& aInput, const Directory::MergedUpstream& aUpstream)
{
  return { &aUpstream, &LoadOf(aInput.mLoads, aUpstream.mTag) };
}

bool
IsColdLimited(const ChoiceInput& aInput, const Directory::MergedUpstream& aUpstream)
{
  return aInput.mColdStarts != nullptr &&
         !AllowsOpening(*aInput.mColdStarts, aUpstream, aInput.mNow);
}

bool
IsLeaseExpired(const ChoiceInput& aInput, const Directory::MergedUpstream& aUpstream)
{
  return aInput.mNow - Directory::LastAnnounced(aInput.mDirectory, aUpstream) > aInput.mLease;
}

PreferenceGroup
PreferenceGroupOf(const ChoiceInput& aInput, const Candidate& aCandidate)
{
  const Directory::MergedUpstream& upstream = *aCandidate.mUpstream;
  const auto& tried = aInput.mExcluded;
  if (std::find(tried.begin(), tried.end(), upstream.mTag) != tried.end()) {
    return AlreadyTried;
  }
  if (IsAvoided(aInput.mEjections, upstream.mTag, aInput.mNow)) {
    return Unresponsive;
  }
  const auto& zones = aInput.mLoads.mByRemoteZone;
  const auto zone = zones.find(upstream.mUpstream.mAvailabilityZone);
  if (zone != zones.end() && IsSuspended(zone->second, aInput.mNow)) {
    return Unresponsive;
  }
  return IsLeaseExpired(aInput, upstream) || IsSuspended(*aCandidate.mLoad, aInput.mNow)
           ? Unresponsive
           : Healthy;
}

void
AddCandidate(const ChoiceInput& aInput, const Candidate& aCandidate, Candidates& aCandidates)
{
  const Directory::Upstream& described = aCandidate.mUpstream->mUpstream;
  const bool local = described.mAvailabilityZone == aInput.mAvailabilityZone;
  (local ? aCandidates.mLocal : aCandidates.mRemote).push_back(aCandidate);
  PlaceLoad& place = local ? aCandidates.mLocalLoad : aCandidates.mRemoteLoad;
  place.mSlots = Saturate(uint64_t{ place.mSlots } + described.mSlots);
  place.mOwnFlows = Saturate(uint64_t{ place.mOwnFlows } + aCandidate.mLoad->mOwnFlows);
  place.mPeerFlows = Saturate(uint64_t{ place.mPeerFlows } + aCandidate.mLoad->mPeerFlows);
}

CandidateGroups
CollectCandidates(const ChoiceInput& aInput)
{
  CandidateGroups groups;
  for (const auto& [zone, upstreams] : Directory::ZonesOf(aInput.mDirectory, aInput.mService)) {
    if (IsEvacuated(aInput.mEvacuations, zone)) {
      continue;
    }
    for (const Directory::MergedUpstream* upstream : upstreams.mReady) {
      if (IsColdLimited(aInput, *upstream)) {
        ++groups.mColdLimited;
        continue;
      }
      const Candidate candidate = MakeCandidate(aInput, *upstream);
      AddCandidate(aInput, candidate, groups.mByGroup[PreferenceGroupOf(aInput, candidate)]);
    }
  }
  return groups;
}

double
ExpectedPeerFlowsPerSlot(const ChoiceInput& aInput, const PlaceLoad& aLocal)
{
  if (uint64_t{ aLocal.mOwnFlows } + aLocal.mPeerFlows < aLocal.mSlots || aLocal.mSlots == 0) {
    return 0;
  }
  return (1 - aInput.mReportWeight) * aLocal.mPeerFlows / aLocal.mSlots;
}

double
Cost(const ChoiceInput& aInput, const Candidate& aCandidate, double aPeerFlowsPerSlot)
{
  const Load& load = *aCandidate.mLoad;
  const Directory::Upstream& described = aCandidate.mUpstream->mUpstream;
  const bool remote = described.mAvailabilityZone != aInput.mAvailabilityZone;
  const double weight = remote ? 1 : aInput.mReportWeight;
  const double flows = load.mOwnFlows + weight * load.mPeerFlows + 1;
  double cost = flows / described.mSlots;
  if (!remote) {
    cost += aPeerFlowsPerSlot;
  }
  if (aInput.mNow < described.mColdUntil) {
    cost *= kColdStartFactor;
  }
  return remote ? cost + kRemotePenalty : cost;
}

} // namespace Steering::Internal

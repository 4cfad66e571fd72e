#include "steering/choice.h"

#include <algorithm>
#include <array>
#include <optional>
#include <set>
#include <tuple>

namespace Steering {

namespace {

/// Groups of upstreams in order of preference. A group is used only if all groups before it are
/// empty.
enum PreferenceGroup
{
  Healthy,
  Unresponsive,
  AlreadyTried,
  PreferenceGroupCount
};

/// Upstreams sampled from the local availability zone and from the remote ones.
constexpr int kLocalSamples = 3;
constexpr int kRemoteSamples = 1;
/// Local samples if no upstream of the instance's subset has a free slot. Fewer, because reports
/// are old then compared with the requests, and the best of many samples is one that others choose
/// too.
constexpr int kSamplesOutsideSubset = 2;
/// Added to the cost of an upstream in a remote availability zone, in flows per slot. With a lower
/// penalty, flows cross availability zones while local slots are free, and fail if the link between
/// the zones fails.
constexpr double kRemotePenalty = 0.75;
/// Flows for each slot of an instance's share of its availability zone's upstreams. More than one,
/// because the end of a flow is known here later than at its upstream, whose slots must not idle.
constexpr uint32_t kFlowsPerSharedSlot = 3;
/// The same for flows that are late already, so that they do not delay those that are not.
constexpr uint32_t kLateFlowsPerSharedSlot = 2;
/// Factor by which an upstream is slower right after its start.
constexpr double kColdStartFactor = 1.6;

/// Slots and flows of the candidates in one place, local or remote.
struct PlaceLoad
{
  uint32_t mSlots = 0;
  uint32_t mOwnFlows = 0;
  uint32_t mPeerFlows = 0;
};

struct Candidates
{
  std::vector<const Directory::MergedUpstream*> mLocal;
  std::vector<const Directory::MergedUpstream*> mRemote;
  PlaceLoad mLocalLoad;
  PlaceLoad mRemoteLoad;
};

/// \return true if the upstream may get new flows of the service. If not, it is no candidate.
bool
TakesNewFlows(const ChoiceInput& aInput, const Directory::MergedUpstream& aUpstream)
{
  const Directory::Upstream& described = aUpstream.mUpstream;
  return described.mState == Directory::State::Ready && described.mService == aInput.mService &&
         !IsEvacuated(aInput.mEvacuations, described.mAvailabilityZone);
}

/// \return true if the upstream is cold and this instance may not send to it now.
bool
IsColdLimited(const ChoiceInput& aInput, const Directory::MergedUpstream& aUpstream)
{
  return aInput.mColdStarts != nullptr &&
         !AllowsOpening(*aInput.mColdStarts, aUpstream, aInput.mNow);
}

PreferenceGroup
PreferenceGroupOf(const ChoiceInput& aInput, const Directory::MergedUpstream& aUpstream)
{
  const auto& tried = aInput.mExcluded;
  if (std::find(tried.begin(), tried.end(), aUpstream.mTag) != tried.end()) {
    return AlreadyTried;
  }
  if (IsAvoided(aInput.mEjections, aUpstream.mTag, aInput.mNow)) {
    return Unresponsive;
  }
  const auto& zones = aInput.mLoads.mByRemoteZone;
  const auto zone = zones.find(aUpstream.mUpstream.mAvailabilityZone);
  if (zone != zones.end() && IsSuspended(zone->second, aInput.mNow)) {
    return Unresponsive;
  }
  const bool leaseExpired =
    aInput.mNow - Directory::LastAnnounced(aInput.mDirectory, aUpstream) > aInput.mLease;
  return leaseExpired || IsSuspended(LoadOf(aInput.mLoads, aUpstream.mTag), aInput.mNow)
           ? Unresponsive
           : Healthy;
}

/// \param aPeerFlowsPerSlot are the flows that peers are expected to have placed since their
/// reports.
double
Cost(const ChoiceInput& aInput,
     const Directory::MergedUpstream& aUpstream,
     double aPeerFlowsPerSlot)
{
  const Load load = LoadOf(aInput.mLoads, aUpstream.mTag);
  const bool remote = aUpstream.mUpstream.mAvailabilityZone != aInput.mAvailabilityZone;
  const double weight = remote ? 1 : aInput.mReportWeight;
  const double flows = load.mOwnFlows + weight * load.mPeerFlows + 1;
  double cost = flows / aUpstream.mUpstream.mSlots;
  if (!remote) {
    cost += aPeerFlowsPerSlot;
  }
  if (aInput.mNow < aUpstream.mUpstream.mColdUntil) {
    cost *= kColdStartFactor;
  }
  return remote ? cost + kRemotePenalty : cost;
}

void
SampleCandidates(const ChoiceInput& aInput,
                 const std::vector<const Directory::MergedUpstream*>& aCandidates,
                 int aSamples,
                 double aPeerFlowsPerSlot,
                 Base::RandomSource& aRandom,
                 const Directory::MergedUpstream*& aBest,
                 double& aBestCost)
{
  for (int i = 0; i < aSamples && !aCandidates.empty(); ++i) {
    const Directory::MergedUpstream* sampled =
      aCandidates[Base::NextBelow(aRandom, aCandidates.size())];
    const double cost = Cost(aInput, *sampled, aPeerFlowsPerSlot);
    if (aBest == nullptr || cost < aBestCost) {
      aBest = sampled;
      aBestCost = cost;
    }
  }
}

void
AddCandidate(const ChoiceInput& aInput,
             const Directory::MergedUpstream& aUpstream,
             Candidates& aCandidates)
{
  const bool local = aUpstream.mUpstream.mAvailabilityZone == aInput.mAvailabilityZone;
  (local ? aCandidates.mLocal : aCandidates.mRemote).push_back(&aUpstream);
  PlaceLoad& place = local ? aCandidates.mLocalLoad : aCandidates.mRemoteLoad;
  const Load load = LoadOf(aInput.mLoads, aUpstream.mTag);
  place.mSlots += aUpstream.mUpstream.mSlots;
  place.mOwnFlows += load.mOwnFlows;
  place.mPeerFlows += load.mPeerFlows;
}

/// Products of slots exceed 32 bits if upstreams announce very many.
uint32_t
DivideRoundingUp(uint64_t aDividend, uint64_t aDivisor)
{
  return static_cast<uint32_t>((aDividend + aDivisor - 1) / aDivisor);
}

/// \return the flows that this instance may have in a place whatever its peers have there.
uint32_t
OwnLimit(const ChoiceInput& aInput, const PlaceLoad& aPlace)
{
  const uint64_t flowsPerSlot = aInput.mIsLate ? kLateFlowsPerSharedSlot : kFlowsPerSharedSlot;
  return DivideRoundingUp(flowsPerSlot * aPlace.mSlots, aInput.mInstances);
}

bool
HasRoom(const ChoiceInput& aInput, const PlaceLoad& aPlace)
{
  return aPlace.mOwnFlows + aPlace.mPeerFlows < aPlace.mSlots ||
         aPlace.mOwnFlows < OwnLimit(aInput, aPlace);
}

/// \return the share of the service's remote slots that this availability zone uses if none of its
/// own upstreams takes new flows. Each zone that has upstreams of the service, and this one, is
/// expected to have the same demand, also while it is evacuated.
PlaceLoad
ShareOfRemoteSlots(const ChoiceInput& aInput, const PlaceLoad& aRemote)
{
  std::set<std::string> zones{ aInput.mAvailabilityZone };
  for (const auto& [tag, upstream] : aInput.mDirectory.mByTag) {
    if (upstream.mUpstream.mService == aInput.mService) {
      zones.insert(upstream.mUpstream.mAvailabilityZone);
    }
  }
  PlaceLoad share = aRemote;
  share.mSlots = DivideRoundingUp(aRemote.mSlots, zones.size());
  return share;
}

/// The load that other availability zones put on remote upstreams is not known here, so an instance
/// gives them no more than its share of their slots.
bool
HasRemoteRoom(const ChoiceInput& aInput, const Candidates& aCandidates)
{
  const uint64_t local = aCandidates.mLocalLoad.mSlots;
  const uint64_t remote = aCandidates.mRemoteLoad.mSlots;
  if (remote == 0) {
    return false;
  }
  const uint32_t share = DivideRoundingUp(remote * local, (remote + local) * aInput.mInstances);
  return aCandidates.mRemoteLoad.mOwnFlows < share;
}

/// \return the flows for each slot that peers are expected to have placed since their reports. They
/// count only if the availability zone is full: otherwise, they are the same for all its upstreams
/// and would only send flows to remote ones while local slots are free.
double
ExpectedPeerFlowsPerSlot(const ChoiceInput& aInput, const PlaceLoad& aLocal)
{
  if (aLocal.mOwnFlows + aLocal.mPeerFlows < aLocal.mSlots || aLocal.mSlots == 0) {
    return 0;
  }
  return (1 - aInput.mReportWeight) * aLocal.mPeerFlows / aLocal.mSlots;
}

/// \return the local upstreams in an order that all instances agree on. A restarted upstream keeps
/// its place.
std::vector<const Directory::MergedUpstream*>
OrderedById(std::vector<const Directory::MergedUpstream*> aUpstreams)
{
  std::sort(aUpstreams.begin(), aUpstreams.end(), [](const auto* aFirst, const auto* aSecond) {
    const auto& first = aFirst->mUpstream;
    const auto& second = aSecond->mUpstream;
    return std::tie(first.mId, first.mStartedAtMs) < std::tie(second.mId, second.mStartedAtMs);
  });
  return aUpstreams;
}

/// \return the upstream from this instance's subset of the availability zone, or nullptr if none
/// has a slot that is free of own flows.
const Directory::MergedUpstream*
ChooseLocalFromSubset(const ChoiceInput& aInput,
                      const Candidates& aCandidates,
                      double aPeerFlowsPerSlot,
                      Base::RandomSource& aRandom)
{
  if (!HasSubset(aInput.mPosition, aInput.mReportWeight) || aCandidates.mLocal.size() < 2) {
    return nullptr;
  }
  const auto upstreams = OrderedById(aCandidates.mLocal);
  std::vector<SubsetCandidate> candidates;
  candidates.reserve(upstreams.size());
  for (const Directory::MergedUpstream* upstream : upstreams) {
    const Load load = LoadOf(aInput.mLoads, upstream->mTag);
    SubsetCandidate candidate;
    candidate.mSlots = upstream->mUpstream.mSlots;
    const bool cold = aInput.mNow < upstream->mUpstream.mColdUntil;
    candidate.mWeight = candidate.mSlots / (cold ? kColdStartFactor : 1);
    candidate.mOwnFlows = load.mOwnFlows;
    candidate.mCost = Cost(aInput, *upstream, aPeerFlowsPerSlot);
    candidate.mLastChosenAt = load.mLastChosenAt;
    candidates.push_back(candidate);
  }
  const std::optional<size_t> chosen =
    ChooseFromSubset(candidates, aInput.mPosition, aInput.mNow, aRandom);
  return chosen.has_value() ? upstreams[*chosen] : nullptr;
}

void
ChooseLocal(const ChoiceInput& aInput,
            const Candidates& aCandidates,
            Base::RandomSource& aRandom,
            const Directory::MergedUpstream*& aBest,
            double& aBestCost)
{
  const double peerFlows = ExpectedPeerFlowsPerSlot(aInput, aCandidates.mLocalLoad);
  aBest = ChooseLocalFromSubset(aInput, aCandidates, peerFlows, aRandom);
  if (aBest != nullptr) {
    aBestCost = Cost(aInput, *aBest, peerFlows);
    return;
  }
  const int samples =
    HasSubset(aInput.mPosition, aInput.mReportWeight) ? kSamplesOutsideSubset : kLocalSamples;
  SampleCandidates(aInput, aCandidates.mLocal, samples, peerFlows, aRandom, aBest, aBestCost);
}

/// Chooses among responsive upstreams, as far as they have room.
Choice
ChooseWithRoom(const ChoiceInput& aInput,
               const Candidates& aCandidates,
               Base::RandomSource& aRandom)
{
  const bool onlyRemote = aCandidates.mLocal.empty();
  const PlaceLoad place =
    onlyRemote ? ShareOfRemoteSlots(aInput, aCandidates.mRemoteLoad) : aCandidates.mLocalLoad;
  const bool hasRoom = HasRoom(aInput, place);
  Choice choice;
  double cost = 0;
  if (hasRoom) {
    ChooseLocal(aInput, aCandidates, aRandom, choice.mUpstream, cost);
  }
  if (onlyRemote ? hasRoom : HasRemoteRoom(aInput, aCandidates)) {
    const int samples = onlyRemote ? kLocalSamples : kRemoteSamples;
    SampleCandidates(aInput, aCandidates.mRemote, samples, 0, aRandom, choice.mUpstream, cost);
  }
  choice.mSaturated = choice.mUpstream == nullptr;
  choice.mOwnFlows = place.mOwnFlows;
  choice.mPeerFlows = place.mPeerFlows;
  choice.mZoneLimit = std::max(kFlowsPerSharedSlot * place.mSlots, 1U);
  choice.mOwnLimit = OwnLimit(aInput, place);
  return choice;
}

Choice
ChooseWithoutLimit(const ChoiceInput& aInput,
                   const Candidates& aCandidates,
                   Base::RandomSource& aRandom)
{
  Choice choice;
  double cost = 0;
  SampleCandidates(aInput, aCandidates.mLocal, kLocalSamples, 0, aRandom, choice.mUpstream, cost);
  const int remoteSamples = aCandidates.mLocal.empty() ? kLocalSamples : kRemoteSamples;
  SampleCandidates(aInput, aCandidates.mRemote, remoteSamples, 0, aRandom, choice.mUpstream, cost);
  return choice;
}

/// Chooses a responsive upstream outside the given availability zones.
Choice
ChooseOutside(const ChoiceInput& aInput,
              const std::set<std::string>& aZones,
              Base::RandomSource& aRandom)
{
  Candidates candidates;
  for (const auto& [tag, upstream] : aInput.mDirectory.mByTag) {
    if (TakesNewFlows(aInput, upstream) && !IsColdLimited(aInput, upstream) &&
        PreferenceGroupOf(aInput, upstream) == Healthy &&
        aZones.count(upstream.mUpstream.mAvailabilityZone) == 0) {
      AddCandidate(aInput, upstream, candidates);
    }
  }
  Choice choice = ChooseWithRoom(aInput, candidates, aRandom);
  choice.mCandidates = candidates.mLocal.size() + candidates.mRemote.size();
  return choice;
}

/// Chooses among all upstreams that may get new flows, from the first group that is not empty.
Choice
ChooseFromGroups(const ChoiceInput& aInput, Base::RandomSource& aRandom)
{
  std::array<Candidates, PreferenceGroupCount> groups;
  size_t coldLimited = 0;
  for (const auto& [tag, upstream] : aInput.mDirectory.mByTag) {
    if (!TakesNewFlows(aInput, upstream)) {
      continue;
    }
    if (IsColdLimited(aInput, upstream)) {
      ++coldLimited;
    } else {
      AddCandidate(aInput, upstream, groups[PreferenceGroupOf(aInput, upstream)]);
    }
  }
  for (int group = Healthy; group < PreferenceGroupCount; ++group) {
    const Candidates& candidates = groups[group];
    const size_t count = candidates.mLocal.size() + candidates.mRemote.size();
    if (count == 0) {
      continue;
    }
    Choice choice = group == Healthy ? ChooseWithRoom(aInput, candidates, aRandom)
                                     : ChooseWithoutLimit(aInput, candidates, aRandom);
    choice.mCandidates = count;
    choice.mColdLimited = coldLimited;
    return choice;
  }
  Choice choice;
  choice.mSaturated = coldLimited > 0;
  choice.mColdLimited = coldLimited;
  return choice;
}

} // namespace

Choice
ChooseUpstream(const ChoiceInput& aInput, Base::RandomSource& aRandom)
{
  const std::set<std::string> avoided =
    SelectZonesToAvoid(aInput.mEvacuations, aRandom, aInput.mNow);
  Choice choice;
  if (!avoided.empty()) {
    choice = ChooseOutside(aInput, avoided, aRandom);
  }
  if (choice.mUpstream == nullptr) {
    choice = ChooseFromGroups(aInput, aRandom);
  }
  if (choice.mUpstream != nullptr) {
    const Load load = LoadOf(aInput.mLoads, choice.mUpstream->mTag);
    choice.mOutstanding = load.mOwnFlows + load.mPeerFlows;
  }
  return choice;
}

} // namespace Steering

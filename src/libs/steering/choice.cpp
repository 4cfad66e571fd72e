#include "steering/choice.h"

#include "steering/candidates.h"

#include <algorithm>
#include <optional>
#include <set>

namespace Steering {

namespace {

using namespace Internal;

/// Upstreams sampled from the local availability zone and from the remote ones.
constexpr int kLocalSamples = 3;
constexpr int kRemoteSamples = 1;
/// Local samples if no upstream of the instance's subset has a free slot. Fewer, because reports
/// are old then compared with the requests, and the best of many samples is one that others choose
/// too.
constexpr int kSamplesOutsideSubset = 2;
/// Flows for each slot of an instance's share of its availability zone's upstreams. More than one,
/// because the end of a flow is known here later than at its upstream, whose slots must not idle.
constexpr uint32_t kFlowsPerSharedSlot = 3;
/// The same for flows that are late already, so that they do not delay those that are not.
constexpr uint32_t kLateFlowsPerSharedSlot = 2;

/// The best candidate so far.
struct Best
{
  Candidate mCandidate;
  double mCost = 0;
};

void
SampleCandidates(const ChoiceInput& aInput,
                 const std::vector<Candidate>& aCandidates,
                 int aSamples,
                 double aPeerFlowsPerSlot,
                 Base::RandomSource& aRandom,
                 Best& aBest)
{
  for (int i = 0; i < aSamples && !aCandidates.empty(); ++i) {
    const Candidate& sampled = aCandidates[Base::NextBelow(aRandom, aCandidates.size())];
    const double cost = Cost(aInput, sampled, aPeerFlowsPerSlot);
    if (aBest.mCandidate.mUpstream == nullptr || cost < aBest.mCost) {
      aBest = { sampled, cost };
    }
  }
}

/// \return the quotient, rounded up and limited to the range of 32 bits. Products of slots exceed
/// that range if upstreams announce very many.
uint32_t
DivideRoundingUp(uint64_t aDividend, uint64_t aDivisor)
{
  return Saturate(aDividend / aDivisor + (aDividend % aDivisor == 0 ? 0 : 1));
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
  return uint64_t{ aPlace.mOwnFlows } + aPlace.mPeerFlows < aPlace.mSlots ||
         aPlace.mOwnFlows < OwnLimit(aInput, aPlace);
}

/// \return the share of the service's remote slots that this availability zone uses if none of its
/// own upstreams takes new flows. Each zone that has upstreams of the service, and this one, is
/// expected to have the same demand, also while it is evacuated.
PlaceLoad
ShareOfRemoteSlots(const ChoiceInput& aInput, const PlaceLoad& aRemote)
{
  const auto& zones = Directory::ZonesOf(aInput.mDirectory, aInput.mService);
  const size_t own = zones.count(aInput.mAvailabilityZone) == 0 ? 1 : 0;
  PlaceLoad share = aRemote;
  share.mSlots = DivideRoundingUp(aRemote.mSlots, zones.size() + own);
  return share;
}

/// The load that other availability zones put on remote upstreams is not known here, so an instance
/// gives them no more than its share of their slots.
/// \return the flows that this instance may have there in addition to those in its own zone.
uint32_t
RemoteLimit(const ChoiceInput& aInput, const Candidates& aCandidates)
{
  const uint64_t local = aCandidates.mLocalLoad.mSlots;
  const uint64_t remote = aCandidates.mRemoteLoad.mSlots;
  return remote == 0 ? 0 : DivideRoundingUp(remote * local, (remote + local) * aInput.mInstances);
}

/// \return the best candidate from this instance's subset of the availability zone, or
/// std::nullopt if none has a slot that is free of own flows.
std::optional<Best>
ChooseLocalFromSubset(const ChoiceInput& aInput,
                      const Candidates& aCandidates,
                      double aPeerFlowsPerSlot,
                      Base::RandomSource& aRandom)
{
  if (!HasSubset(aInput.mPosition, aInput.mReportWeight) || aCandidates.mLocal.size() < 2) {
    return std::nullopt;
  }
  const auto& local = aCandidates.mLocal;
  std::vector<SubsetCandidate> candidates;
  candidates.reserve(local.size());
  for (const Candidate& item : local) {
    const Directory::Upstream& described = item.mUpstream->mUpstream;
    SubsetCandidate candidate;
    candidate.mSlots = described.mSlots;
    const bool cold = aInput.mNow < described.mColdUntil;
    candidate.mWeight = candidate.mSlots / (cold ? kColdStartFactor : 1);
    candidate.mOwnFlows = item.mLoad->mOwnFlows;
    candidate.mCost = Cost(aInput, item, aPeerFlowsPerSlot);
    candidate.mLastChosenAt = item.mLoad->mLastChosenAt;
    candidates.push_back(candidate);
  }
  const std::optional<size_t> chosen =
    ChooseFromSubset(candidates, aInput.mPosition, aInput.mNow, aRandom);
  return chosen.has_value() ? std::optional(Best{ local[*chosen], candidates[*chosen].mCost })
                            : std::nullopt;
}

Best
ChooseLocal(const ChoiceInput& aInput, const Candidates& aCandidates, Base::RandomSource& aRandom)
{
  const double peerFlows = ExpectedPeerFlowsPerSlot(aInput, aCandidates.mLocalLoad);
  const auto fromSubset = ChooseLocalFromSubset(aInput, aCandidates, peerFlows, aRandom);
  if (fromSubset.has_value()) {
    return *fromSubset;
  }
  const int samples =
    HasSubset(aInput.mPosition, aInput.mReportWeight) ? kSamplesOutsideSubset : kLocalSamples;
  Best best;
  SampleCandidates(aInput, aCandidates.mLocal, samples, peerFlows, aRandom, best);
  return best;
}

size_t
CountOf(const Candidates& aCandidates)
{
  return aCandidates.mLocal.size() + aCandidates.mRemote.size();
}

/// \return a choice of the best candidate, if there is one.
Choice
MakeChoice(const Candidates& aCandidates, const Best& aBest)
{
  Choice choice;
  choice.mCandidates = CountOf(aCandidates);
  choice.mUpstream = aBest.mCandidate.mUpstream;
  if (choice.mUpstream != nullptr) {
    const Load& load = *aBest.mCandidate.mLoad;
    choice.mOutstanding = load.mOwnFlows + load.mPeerFlows;
  }
  return choice;
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
  Best best;
  if (hasRoom) {
    best = ChooseLocal(aInput, aCandidates, aRandom);
  }
  const uint32_t remoteFlows = aCandidates.mRemoteLoad.mOwnFlows;
  const uint32_t remoteLimit = RemoteLimit(aInput, aCandidates);
  if (onlyRemote ? hasRoom : remoteFlows < remoteLimit) {
    const int samples = onlyRemote ? kLocalSamples : kRemoteSamples;
    SampleCandidates(aInput, aCandidates.mRemote, samples, 0, aRandom, best);
  }
  Choice choice = MakeChoice(aCandidates, best);
  choice.mSaturated = choice.mUpstream == nullptr;
  choice.mOwnFlows = place.mOwnFlows;
  choice.mPeerFlows = place.mPeerFlows;
  choice.mZoneLimit = std::max(Saturate(uint64_t{ kFlowsPerSharedSlot } * place.mSlots), 1U);
  choice.mOwnLimit = OwnLimit(aInput, place);
  choice.mRemoteFlows = remoteFlows;
  choice.mRemoteLimit = remoteLimit;
  return choice;
}

Choice
ChooseWithoutLimit(const ChoiceInput& aInput,
                   const Candidates& aCandidates,
                   Base::RandomSource& aRandom)
{
  Best best;
  SampleCandidates(aInput, aCandidates.mLocal, kLocalSamples, 0, aRandom, best);
  const int remoteSamples = aCandidates.mLocal.empty() ? kLocalSamples : kRemoteSamples;
  SampleCandidates(aInput, aCandidates.mRemote, remoteSamples, 0, aRandom, best);
  return MakeChoice(aCandidates, best);
}

/// Chooses a responsive upstream outside the given availability zones.
Choice
ChooseOutside(const ChoiceInput& aInput,
              const Candidates& aHealthy,
              const std::set<std::string>& aZones,
              Base::RandomSource& aRandom)
{
  Candidates outside;
  for (const auto& place : { &aHealthy.mLocal, &aHealthy.mRemote }) {
    for (const Candidate& candidate : *place) {
      if (aZones.count(candidate.mUpstream->mUpstream.mAvailabilityZone) == 0) {
        AddCandidate(aInput, candidate, outside);
      }
    }
  }
  return ChooseWithRoom(aInput, outside, aRandom);
}

/// Chooses among all upstreams that may get new flows, from the first group that is not empty.
Choice
ChooseFromGroups(const ChoiceInput& aInput,
                 const CandidateGroups& aGroups,
                 Base::RandomSource& aRandom)
{
  Choice choice;
  choice.mSaturated = aGroups.mColdLimited > 0;
  for (int group = Healthy; group < PreferenceGroupCount; ++group) {
    const Candidates& candidates = aGroups.mByGroup[group];
    if (CountOf(candidates) > 0) {
      choice = group == Healthy ? ChooseWithRoom(aInput, candidates, aRandom)
                                : ChooseWithoutLimit(aInput, candidates, aRandom);
      break;
    }
  }
  choice.mColdLimited = aGroups.mColdLimited;
  return choice;
}

} // namespace

Choice
ChooseUpstream(const ChoiceInput& aInput, Base::RandomSource& aRandom)
{
  const std::set<std::string> avoided =
    SelectZonesToAvoid(aInput.mEvacuations, aRandom, aInput.mNow);
  const CandidateGroups groups = CollectCandidates(aInput);
  if (!avoided.empty()) {
    const Choice choice = ChooseOutside(aInput, groups.mByGroup[Healthy], avoided, aRandom);
    if (choice.mUpstream != nullptr) {
      return choice;
    }
  }
  return ChooseFromGroups(aInput, groups, aRandom);
}

} // namespace Steering

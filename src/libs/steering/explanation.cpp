#include "steering/explanation.h"

#include "steering/assignment.h"
#include "steering/candidates.h"
#include "steering/openings.h"

#include <algorithm>
#include <map>
#include <set>
#include <tuple>

namespace Steering {

using namespace Internal;

namespace {

/// The packet whose decision is explained.
Packet
OpeningPacketOf(const FlowKey& aFlow)
{
  Packet packet;
  packet.mFlow = aFlow;
  packet.mKind = PacketKind::Opening;
  return packet;
}

const Flow*
RecordOf(const State& aState, const FlowKey& aFlow)
{
  const auto record = aState.mFlows.mFlows.find(aFlow);
  return record == aState.mFlows.mFlows.end() ? nullptr : &record->second;
}

KnownFlow
ExplainFlow(const State& aState, const FlowKey& aFlow)
{
  KnownFlow known;
  const Flow* record = RecordOf(aState, aFlow);
  const auto pin = aState.mPins.mByFlow.find(aFlow);
  Packet packet;
  packet.mFlow = aFlow;
  packet.mKind = PacketKind::MidFlow;
  const auto cached = aState.mFlowCache.mByFlow.find(aFlow);
  if (cached != aState.mFlowCache.mByFlow.end()) {
    known.mIsCached = true;
    packet.mSequence = cached->second.mFirstSequence;
  }
  if (pin != aState.mPins.mByFlow.end()) {
    packet.mSequence = pin->second.mSequence;
  }
  if (record != nullptr) {
    known.mHasRecord = true;
    known.mIsConfirmed = record->mConfirmed;
    known.mIsHeld = record->mHeld;
    packet.mSequence = record->mSequence;
  }
  known.mPinnedTag = PinnedTag(aState.mPins, aFlow, packet.mSequence);
  known.mTag = CurrentTag(aState, packet);
  if (known.mTag.mValue == 0 && record != nullptr) {
    known.mTag = record->mTag;
  }
  const Directory::MergedUpstream* upstream = Directory::Find(aState.mDirectory, known.mTag);
  if (upstream != nullptr) {
    known.mUpstream = upstream->mUpstream;
  }
  return known;
}

ZoneExplanation
ExplainZone(const State& aState,
            const Settings& aSettings,
            const std::string& aZone,
            Base::TimePoint aNow)
{
  ZoneExplanation zone;
  zone.mName = aZone;
  zone.mIsOwn = aZone == aSettings.mAvailabilityZone;
  zone.mIsEvacuated = IsEvacuated(aState.mEvacuations, aZone);
  zone.mShareOfNewFlows = ShareOfNewFlows(aState.mEvacuations, aZone, aNow);
  const auto load = aState.mLoads.mByRemoteZone.find(aZone);
  zone.mIsSuspended = load != aState.mLoads.mByRemoteZone.end() && IsSuspended(load->second, aNow);
  return zone;
}

CandidateGroup
ToCandidateGroup(int aPreferenceGroup)
{
  switch (aPreferenceGroup) {
    case Healthy:
      return CandidateGroup::Healthy;
    case AlreadyTried:
      return CandidateGroup::AlreadyTried;
    default:
      return CandidateGroup::Unresponsive;
  }
}

/// \return the group of an upstream that the choice puts into no group.
CandidateGroup
GroupOfUnused(const ChoiceInput& aInput, const Directory::MergedUpstream& aUpstream)
{
  const bool takesNewFlows =
    aUpstream.mUpstream.mState == Directory::State::Ready &&
    !IsEvacuated(aInput.mEvacuations, aUpstream.mUpstream.mAvailabilityZone);
  return takesNewFlows && IsColdLimited(aInput, aUpstream) ? CandidateGroup::ColdLimited
                                                           : CandidateGroup::Excluded;
}

/// Explains an upstream as if the choice put it into no group.
CandidateExplanation
ExplainUpstream(const State& aState,
                const ChoiceInput& aInput,
                const Directory::MergedUpstream& aUpstream)
{
  CandidateExplanation explained;
  explained.mTag = aUpstream.mTag;
  explained.mUpstream = aUpstream.mUpstream;
  explained.mLoad = LoadOf(aInput.mLoads, aUpstream.mTag);
  explained.mGroup = GroupOfUnused(aInput, aUpstream);
  explained.mIsCold = aInput.mNow < aUpstream.mUpstream.mColdUntil;
  explained.mColdLimit = RateLimitOf(aState.mColdStarts, aUpstream.mUpstream, aInput.mNow);
  explained.mLeaseExpired = IsLeaseExpired(aInput, aUpstream);
  explained.mIsSuspended = IsSuspended(explained.mLoad, aInput.mNow);
  explained.mIsEjected = IsAvoided(aInput.mEjections, aUpstream.mTag, aInput.mNow);
  return explained;
}

/// \return the upstreams of the service, by tag, that are not gone.
std::map<Directory::RouteTag, CandidateExplanation>
ExplainUpstreams(const State& aState, const ChoiceInput& aInput)
{
  std::map<Directory::RouteTag, CandidateExplanation> explained;
  for (const auto& [tag, upstream] : aInput.mDirectory.mByTag) {
    if (upstream.mUpstream.mService == aInput.mService &&
        upstream.mUpstream.mState != Directory::State::Gone) {
      explained.emplace(tag, ExplainUpstream(aState, aInput, upstream));
    }
  }
  const CandidateGroups groups = CollectCandidates(aInput);
  for (int group = Healthy; group < PreferenceGroupCount; ++group) {
    const Candidates& candidates = groups.mByGroup[group];
    // Only the choice from the healthy group expects flows that peers have not reported yet.
    const double peerFlows =
      group == Healthy ? ExpectedPeerFlowsPerSlot(aInput, candidates.mLocalLoad) : 0;
    for (const std::vector<Candidate>* place : { &candidates.mLocal, &candidates.mRemote }) {
      for (const Candidate& candidate : *place) {
        CandidateExplanation& item = explained[candidate.mUpstream->mTag];
        item.mGroup = ToCandidateGroup(group);
        item.mCost = Cost(aInput, candidate, peerFlows);
      }
    }
  }
  return explained;
}

/// \param aRandom is a copy, so that the explanation of a service does not change the draws.
std::optional<RoomExplanation>
ExplainRoom(const ChoiceInput& aInput, Base::RandomSource aRandom)
{
  const Choice choice = ChooseUpstream(aInput, aRandom);
  if (choice.mZoneLimit == 0) {
    return std::nullopt;
  }
  return RoomExplanation{ choice.mOwnFlows,  choice.mPeerFlows,   choice.mOwnLimit,
                          choice.mZoneLimit, choice.mRemoteFlows, choice.mRemoteLimit };
}

auto
OrderOf(const CandidateExplanation& aCandidate)
{
  const Directory::Upstream& upstream = aCandidate.mUpstream;
  return std::tie(upstream.mAvailabilityZone, upstream.mId, upstream.mStartedAtMs);
}

/// \param aFlow is the flow if it was assigned to the service.
ServiceExplanation
ExplainService(const State& aState,
               const Settings& aSettings,
               const WeightedService& aService,
               const Flow& aFlow,
               Base::TimePoint aNow)
{
  ServiceExplanation service;
  service.mService = aService;
  const ChoiceInput input = MakeChoiceInput(aState, aSettings, aFlow, false, aNow);
  std::set<std::string> zones{ aSettings.mAvailabilityZone };
  for (auto& [tag, candidate] : ExplainUpstreams(aState, input)) {
    zones.insert(candidate.mUpstream.mAvailabilityZone);
    service.mCandidates.push_back(candidate);
  }
  std::sort(service.mCandidates.begin(),
            service.mCandidates.end(),
            [](const CandidateExplanation& aFirst, const CandidateExplanation& aSecond) {
              return OrderOf(aFirst) < OrderOf(aSecond);
            });
  for (const std::string& zone : zones) {
    service.mZones.push_back(ExplainZone(aState, aSettings, zone, aNow));
  }
  service.mRoom = ExplainRoom(input, aState.mRandom);
  return service;
}

/// \return the record of a flow that is not open yet, so that an opening packet counts as a copy,
/// or nullptr if an opening packet begins a new flow.
const Flow*
UnconfirmedRecordOf(const State& aState, const FlowKey& aFlow)
{
  const Flow* record = RecordOf(aState, aFlow);
  return record == nullptr || record->mConfirmed ? nullptr : record;
}

std::vector<ServiceExplanation>
ExplainServices(const State& aState,
                const Settings& aSettings,
                const Route& aRoute,
                const FlowKey& aFlow,
                Base::TimePoint aNow)
{
  std::vector<ServiceExplanation> services;
  const Flow* record = UnconfirmedRecordOf(aState, aFlow);
  for (const WeightedService& service : aRoute.mServices) {
    if (service.mWeight == 0) {
      continue;
    }
    Flow flow;
    flow.mService = service.mService;
    flow.mIsRepeatable = aRoute.mIsRepeatable;
    // The service of a flow is not chosen again.
    if (record != nullptr && record->mService == service.mService) {
      flow.mTriedUpstreams = record->mTriedUpstreams;
    }
    services.push_back(ExplainService(aState, aSettings, service, flow, aNow));
  }
  return services;
}

Decision
DecideOnce(const State& aState,
           const Settings& aSettings,
           const FlowKey& aFlow,
           Base::TimePoint aNow,
           Base::RandomSource& aRandom)
{
  const Packet packet = OpeningPacketOf(aFlow);
  const Flow* record = UnconfirmedRecordOf(aState, aFlow);
  if (record != nullptr) {
    return record->mHeld
             ? Refuse(Action::Hold, Reason::Saturated)
             : DecideOpening(
                 aState, aSettings, *record, packet, Reason::RepeatedOpening, aNow, aRandom)
                 .mDecision;
  }
  const std::optional<Decision> refusal =
    DecideWithoutRoute(aState, aSettings, aFlow.mService, aNow);
  return refusal.has_value()
           ? *refusal
           : DecideNewFlow(aState, aSettings, packet, aNow, aRandom).mOpening.mDecision;
}

void
SetDraws(std::vector<ServiceExplanation>& aServices,
         const std::map<Directory::RouteTag, size_t>& aDraws)
{
  for (ServiceExplanation& service : aServices) {
    for (CandidateExplanation& candidate : service.mCandidates) {
      const auto draws = aDraws.find(candidate.mTag);
      candidate.mDraws = draws == aDraws.end() ? 0 : draws->second;
    }
  }
}

} // namespace

const char*
ToString(CandidateGroup aGroup)
{
  switch (aGroup) {
    case CandidateGroup::Healthy:
      return "healthy";
    case CandidateGroup::Unresponsive:
      return "unresponsive";
    case CandidateGroup::AlreadyTried:
      return "already_tried";
    case CandidateGroup::ColdLimited:
      return "cold_limited";
    case CandidateGroup::Excluded:
      break;
  }
  return "excluded";
}

Explanation
Explain(const State& aState, const Settings& aSettings, const FlowKey& aFlow, Base::TimePoint aNow)
{
  Explanation explanation;
  explanation.mIsReady = IsReady(aState);
  explanation.mFlow = aFlow;
  explanation.mConfigVersion = aState.mRoutes.mVersion;
  if (aState.mConnectedAt != Base::TimePoint()) {
    explanation.mControlAge = aNow - aState.mConnectedAt;
  }
  explanation.mKnown = ExplainFlow(aState, aFlow);
  const auto route = aState.mRoutes.mRoutes.find(aFlow.mService);
  if (route != aState.mRoutes.mRoutes.end()) {
    explanation.mRoute = route->second;
    explanation.mServices = ExplainServices(aState, aSettings, route->second, aFlow, aNow);
  }
  Base::RandomSource random = aState.mRandom;
  std::map<Directory::RouteTag, size_t> draws;
  for (size_t draw = 0; draw < kExplainedDraws; ++draw) {
    const Decision decision = DecideOnce(aState, aSettings, aFlow, aNow, random);
    if (draw == 0) {
      explanation.mDecision = decision;
    }
    if (decision.mAction == Action::Forward) {
      ++explanation.mForwardedDraws;
      ++draws[decision.mTag];
    }
  }
  SetDraws(explanation.mServices, draws);
  return explanation;
}

} // namespace Steering

#include "fleet/explanationjson.h"

#include "absl/strings/str_cat.h"

#include <nlohmann/json.hpp>

#include <chrono>

namespace Fleet {

namespace {

using nlohmann::json;

int64_t
Milliseconds(Base::Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count();
}

std::string
IdText(Directory::UpstreamId aId)
{
  return absl::StrCat(absl::Hex(aId.mValue));
}

const char*
StateName(Directory::State aState)
{
  switch (aState) {
    case Directory::State::Ready:
      return "ready";
    case Directory::State::Draining:
      return "draining";
    case Directory::State::Gone:
      break;
  }
  return "gone";
}

template<typename Value>
json
ValueOrNull(const std::optional<Value>& aValue)
{
  return aValue.has_value() ? json(*aValue) : json(nullptr);
}

json
RouteJson(const Steering::Explanation& aExplanation)
{
  json route{ { "address", Base::ToString(aExplanation.mFlow.mService) },
              { "known", aExplanation.mRoute.has_value() },
              { "config_version", aExplanation.mConfigVersion },
              { "control_age_ms", nullptr } };
  if (aExplanation.mControlAge.has_value()) {
    route["control_age_ms"] = Milliseconds(*aExplanation.mControlAge);
  }
  if (!aExplanation.mRoute.has_value()) {
    return route;
  }
  route["priority"] = aExplanation.mRoute->mPriority;
  route["latency_objective_ms"] = Milliseconds(aExplanation.mRoute->mLatencyObjective);
  route["services"] = json::array();
  for (const Steering::WeightedService& service : aExplanation.mRoute->mServices) {
    route["services"].push_back({ { "service", service.mService }, { "weight", service.mWeight } });
  }
  return route;
}

json
FlowJson(const Steering::Explanation& aExplanation)
{
  const Steering::KnownFlow& known = aExplanation.mKnown;
  json flow{ { "caller", Base::ToString(aExplanation.mFlow.mCaller) },
             { "service", Base::ToString(aExplanation.mFlow.mService) },
             { "record", known.mHasRecord },
             { "confirmed", known.mIsConfirmed },
             { "held", known.mIsHeld },
             { "cached", known.mIsCached },
             { "pin", nullptr },
             { "tag", nullptr } };
  if (known.mPinnedTag.has_value()) {
    flow["pin"] = known.mPinnedTag->mValue;
  }
  if (known.mTag.mValue != 0) {
    flow["tag"] = known.mTag.mValue;
  }
  if (known.mUpstream.has_value()) {
    flow["upstream"] = IdText(known.mUpstream->mId);
    flow["address"] = Base::ToString(known.mUpstream->mAddress);
    flow["state"] = StateName(known.mUpstream->mState);
  }
  return flow;
}

json
ZoneJson(const Steering::ZoneExplanation& aZone)
{
  return { { "availability_zone", aZone.mName },
           { "own", aZone.mIsOwn },
           { "evacuated", aZone.mIsEvacuated },
           { "suspended", aZone.mIsSuspended },
           { "slow_start", !aZone.mIsEvacuated && aZone.mShareOfNewFlows < 1 },
           { "share_of_new_flows", aZone.mShareOfNewFlows } };
}

json
CandidateJson(const Steering::CandidateExplanation& aCandidate)
{
  const Directory::Upstream& upstream = aCandidate.mUpstream;
  return { { "upstream", IdText(upstream.mId) },
           { "tag", aCandidate.mTag.mValue },
           { "address", Base::ToString(upstream.mAddress) },
           { "availability_zone", upstream.mAvailabilityZone },
           { "state", StateName(upstream.mState) },
           { "slots", upstream.mSlots },
           { "own_flows", aCandidate.mLoad.mOwnFlows },
           { "peer_flows", aCandidate.mLoad.mPeerFlows },
           { "cost", ValueOrNull(aCandidate.mCost) },
           { "cold", aCandidate.mIsCold },
           { "cold_limit_per_s", ValueOrNull(aCandidate.mColdLimit) },
           { "lease_expired", aCandidate.mLeaseExpired },
           { "suspended", aCandidate.mIsSuspended },
           { "ejected", aCandidate.mIsEjected },
           { "group", Steering::ToString(aCandidate.mGroup) },
           { "draws", aCandidate.mDraws } };
}

json
RoomJson(const std::optional<Steering::RoomExplanation>& aRoom)
{
  if (!aRoom.has_value()) {
    return nullptr;
  }
  return { { "own_flows", aRoom->mOwnFlows },       { "peer_flows", aRoom->mPeerFlows },
           { "own_limit", aRoom->mOwnLimit },       { "zone_limit", aRoom->mZoneLimit },
           { "remote_flows", aRoom->mRemoteFlows }, { "remote_limit", aRoom->mRemoteLimit } };
}

json
ServiceJson(const Steering::ServiceExplanation& aService)
{
  json service{ { "service", aService.mService.mService },
                { "weight", aService.mService.mWeight },
                { "zones", json::array() },
                { "candidates", json::array() },
                { "room", RoomJson(aService.mRoom) } };
  for (const Steering::ZoneExplanation& zone : aService.mZones) {
    service["zones"].push_back(ZoneJson(zone));
  }
  for (const Steering::CandidateExplanation& candidate : aService.mCandidates) {
    service["candidates"].push_back(CandidateJson(candidate));
  }
  return service;
}

json
DecisionJson(const Steering::Explanation& aExplanation)
{
  const Steering::Decision& decided = aExplanation.mDecision;
  json decision{ { "action", Steering::ToString(decided.mAction) },
                 { "reason", Steering::ToString(decided.mReason) },
                 { "draws", Steering::kExplainedDraws },
                 { "forwarded_draws", aExplanation.mForwardedDraws } };
  if (decided.mAction == Steering::Action::Forward) {
    decision["upstream"] = IdText(decided.mUpstream);
    decision["tag"] = decided.mTag.mValue;
    decision["address"] = Base::ToString(decided.mAddress);
  }
  return decision;
}

} // namespace

json
ToJson(const Steering::Explanation& aExplanation, const std::string& aAvailabilityZone)
{
  json document{ { "instance",
                   { { "ready", aExplanation.mIsReady },
                     { "availability_zone", aAvailabilityZone } } },
                 { "route", RouteJson(aExplanation) },
                 { "flow", FlowJson(aExplanation) },
                 { "services", json::array() },
                 { "decision", DecisionJson(aExplanation) } };
  for (const Steering::ServiceExplanation& service : aExplanation.mServices) {
    document["services"].push_back(ServiceJson(service));
  }
  return document;
}

} // namespace Fleet

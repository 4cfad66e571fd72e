#include "measure/floodrouter.h"

#include "base/hash.h"
#include "measure/floodplan.h"

namespace Measure {

namespace {

Base::Endpoint
EndpointOf(uint32_t aHost)
{
  return { 0x7F000001, static_cast<uint16_t>(aHost + 1) };
}

std::vector<uint32_t>
HostsIn(const Router& aRouter, uint32_t aZone)
{
  std::vector<uint32_t> hosts;
  for (uint32_t host = 0; host < aRouter.mTakesNewWork.size(); ++host) {
    if (AvailabilityZoneOf(host) == aZone && aRouter.mTakesNewWork[host]) {
      hosts.push_back(host);
    }
  }
  return hosts;
}

std::optional<size_t>
ZoneForFlow(Router& aRouter, uint32_t aOwn)
{
  std::vector<Admission::AvailabilityZoneSummary> summaries(kAvailabilityZones);
  for (uint32_t zone = 0; zone < kAvailabilityZones; ++zone) {
    summaries[zone].mUpstreams = static_cast<uint32_t>(HostsIn(aRouter, zone).size());
    summaries[zone].mReachable = IsConnected(aRouter, aOwn, zone);
  }
  for (uint32_t instance = 0; instance < kInstances; ++instance) {
    summaries[AvailabilityZoneOf(instance)].mInstances +=
      aRouter.mReceivesPackets[instance] ? 1 : 0;
  }
  return Admission::ChooseAvailabilityZone(summaries, aOwn, aRouter.mRandom);
}

} // namespace

Router
MakeRouter(uint32_t aHosts, uint64_t aSeed)
{
  Router router;
  router.mTakesNewWork.assign(aHosts, true);
  router.mColdSince.resize(aHosts);
  router.mReceivesPackets.assign(kInstances, true);
  router.mPlaced.assign(kInstances, std::vector<Admission::PlacedWork>(aHosts));
  router.mHealth.resize(kInstances);
  router.mNextRoundRobin.assign(kInstances, 0);
  for (uint32_t instance = 0; instance < kInstances; ++instance) {
    for (uint32_t host = 0; host < aHosts; ++host) {
      if (AvailabilityZoneOf(host) == AvailabilityZoneOf(instance)) {
        router.mHealth[instance][EndpointOf(host)];
      }
    }
  }
  router.mRandom.mState = Base::StableHash({ aSeed, 0xF10D });
  return router;
}

bool
IsConnected(const Router& aRouter, uint32_t aFirst, uint32_t aSecond)
{
  return !aRouter.mPartitionedZone ||
         (aFirst == *aRouter.mPartitionedZone) == (aSecond == *aRouter.mPartitionedZone);
}

uint32_t
SelectReceivingInstance(Router& aRouter, uint32_t aReachableZone)
{
  for (;;) {
    const auto instance = static_cast<uint32_t>(Base::NextBelow(aRouter.mRandom, kInstances));
    if (aRouter.mReceivesPackets[instance] &&
        IsConnected(aRouter, aReachableZone, AvailabilityZoneOf(instance))) {
      return instance;
    }
  }
}

std::optional<uint32_t>
RouteFlow(Router& aRouter, uint32_t aInstance, uint32_t aSlots, Base::TimePoint aNow)
{
  const std::optional<size_t> zone = ZoneForFlow(aRouter, AvailabilityZoneOf(aInstance));
  if (!zone) {
    return std::nullopt;
  }
  const std::vector<uint32_t> hosts = HostsIn(aRouter, static_cast<uint32_t>(*zone));
  std::vector<Admission::UpstreamCandidate> candidates;
  candidates.reserve(hosts.size());
  for (const uint32_t host : hosts) {
    Admission::UpstreamCandidate candidate;
    candidate.mSlots = aSlots;
    const auto health = aRouter.mHealth[aInstance].find(EndpointOf(host));
    candidate.mEjected =
      health != aRouter.mHealth[aInstance].end() && Admission::IsEjected(health->second, aNow);
    candidate.mPlaced = aRouter.mPlaced[aInstance][host];
    candidate.mColdSince = aRouter.mColdSince[host];
    candidates.push_back(candidate);
  }
  const std::optional<size_t> chosen = Admission::ChooseUpstream(candidates, aNow, aRouter.mRandom);
  if (!chosen) {
    return std::nullopt;
  }
  Admission::AddPlacement(aRouter.mPlaced[aInstance][hosts[*chosen]], aNow);
  return hosts[*chosen];
}

std::optional<uint32_t>
RouteRoundRobin(Router& aRouter, uint32_t aInstance)
{
  std::vector<uint32_t> hosts = HostsIn(aRouter, AvailabilityZoneOf(aInstance));
  if (hosts.empty()) {
    return std::nullopt;
  }
  return hosts[aRouter.mNextRoundRobin[aInstance]++ % hosts.size()];
}

void
RecordOpening(Router& aRouter,
              uint32_t aInstance,
              uint32_t aHost,
              bool aSucceeded,
              Base::TimePoint aNow)
{
  Admission::RecordOutcome(aRouter.mHealth[aInstance], EndpointOf(aHost), aSucceeded, aNow);
}

} // namespace Measure

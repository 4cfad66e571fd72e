#include "opaquepath.h"

#include "base/hash.h"

namespace Entry {

OpaquePath::OpaquePath(const PacketPorts& aPorts,
                       const Base::Snapshot<Membership::View>& aView,
                       const Base::Snapshot<Config::ServiceIndex>& /*aServices*/,
                       Metrics::Registry& aMetrics)
  : mPorts(aPorts)
  , mView(aView)
  , mForwarded(aMetrics.CounterFor("opaque_packets_total"))
  , mNoUpstream(aMetrics.CounterFor("drops_total{reason=\"no_upstream\"}"))
{
}

void
OpaquePath::HandleCallerPacket(const Config::ServiceView& aService,
                               const Wire::ProxyAddresses& aAddresses,
                               absl::string_view aPayload)
{
  const std::shared_ptr<const Membership::View> view = mView.Load();
  const Base::TimePoint now = Base::RuntimeClock::now();
  const Membership::Upstream* best = nullptr;
  uint64_t bestScore = 0;
  for (const Membership::Upstream& upstream : view->mUpstreams) {
    if (upstream.mGeneration != aService.mGeneration || !Membership::IsUsable(upstream, now)) {
      continue;
    }
    const uint64_t score = Base::StableHash({ Base::Pack(aAddresses.mSource),
                                              aService.mGeneration.mValue,
                                              Base::Pack(upstream.mEndpoint) });
    if (best == nullptr || score > bestScore) {
      best = &upstream;
      bestScore = score;
    }
  }
  if (best == nullptr) {
    mNoUpstream.Add();
    return;
  }
  mForwarded.Add();
  mPorts.mToUpstream(best->mEndpoint, aAddresses, aPayload);
}

void
OpaquePath::HandlePeerPayload(const PeerSender& /*aSender*/, absl::string_view /*aPayload*/)
{
}

void
OpaquePath::Tick()
{
}

} // namespace Entry

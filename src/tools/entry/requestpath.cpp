#include "requestpath.h"

#include "base/hash.h"

#include "upstream.pb.h"

#include <algorithm>
#include <chrono>
#include <random>
#include <tuple>
#include <utility>

namespace Entry {

namespace {

// An instance dispatches to few upstreams, so additional shards would remain empty.
constexpr size_t kShards = 8;

uint64_t
RandomSeed()
{
  std::random_device device;
  return (static_cast<uint64_t>(device()) << 32U) | device();
}

Terms::WallSeconds
WallNow()
{
  const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return Terms::WallSeconds(
    static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::seconds>(sinceEpoch).count()));
}

Requests::FlowAddresses
ToFlowAddresses(const Wire::ProxyAddresses& aAddresses)
{
  return { aAddresses.mSource, aAddresses.mDestination };
}

Wire::ProxyAddresses
ToProxyAddresses(const Requests::FlowAddresses& aAddresses)
{
  return { aAddresses.mCaller, aAddresses.mService };
}

size_t
Remaining(size_t aBound, size_t aUsed)
{
  return aBound - std::min(aBound, aUsed);
}

/// \return false if new flows of the caller avoid the upstream during the slow start of its
/// availability zone. All instances agree, and as the share rises, a caller changes at most once.
bool
IsAdmitted(const Membership::Upstream& aUpstream, const Base::Endpoint& aCaller)
{
  constexpr uint64_t kResolution = 1000;
  const uint64_t zone = Base::StableHash(aUpstream.mAvailabilityZone);
  const uint64_t position = Base::StableHash({ Base::Pack(aCaller), zone }) % kResolution;
  return static_cast<double>(position) < aUpstream.mNewWorkShare * kResolution;
}

} // namespace

RequestPath::Shard::Shard(const Base::Snapshot<Membership::View>& aView,
                          const Base::Snapshot<Config::ServiceIndex>& aServices)
  : mView(aView)
  , mServices(aServices)
{
}

RequestPath::RequestPath(const EntrySettings& aSettings,
                         Base::Incarnation aIncarnation,
                         const PacketPorts& aPorts,
                         const Base::Snapshot<Membership::View>& aView,
                         const Base::Snapshot<Config::ServiceIndex>& aServices,
                         Metrics::Registry& aMetrics)
  : mPorts(aPorts)
  , mView(aView)
  , mServices(aServices)
  , mMetrics(aMetrics)
  , mServiceCounters(std::make_shared<CountersByAddress>())
  , mUnknownPeer(aMetrics.CounterFor("lw_request_drops_total{reason=\"peer_gone\"}"))
  , mOpenFlows(aMetrics.GaugeFor("lw_request_flows"))
{
  mSettings.mTicketKey = Requests::MakeTicketKey(aSettings.mRegionKey);
  mSettings.mTermsKey = aSettings.mRegionKey;
  mCounters.push_back(nullptr);
  for (size_t i = 1; i < static_cast<size_t>(Requests::Event::Count); ++i) {
    const char* name = Requests::CounterName(static_cast<Requests::Event>(i));
    mCounters.push_back(&aMetrics.CounterFor(name));
  }
  const Requests::Run self{ aSettings.mInstance, aIncarnation };
  for (uint32_t i = 0; i < kShards; ++i) {
    auto shard = std::make_unique<Shard>(aView, aServices);
    shard->mState = Requests::MakeState(self, i);
    shard->mRandom.mState = RandomSeed();
    mShards.push_back(std::move(shard));
  }
}

void
RequestPath::UpdateServiceCounters()
{
  const std::shared_ptr<const Config::ServiceIndex> services = mServices.Load();
  if (services->mVersion == mCountedVersion) {
    return;
  }
  mCountedVersion = services->mVersion;
  auto counters = std::make_shared<CountersByAddress>();
  for (const auto& [address, service] : services->mByAddress) {
    const std::string label = "{service=\"" + service->mName + "\"}";
    (*counters)[address] = { &mMetrics.CounterFor("lw_service_replies_total" + label),
                             &mMetrics.CounterFor("lw_service_not_run_total" + label),
                             &mMetrics.CounterFor("lw_service_lost_total" + label) };
  }
  mServiceCounters.Publish(std::move(counters));
}

void
RequestPath::CountReplies(const std::vector<Requests::ToCaller>& aReplies)
{
  const std::shared_ptr<const CountersByAddress> counters = mServiceCounters.Load();
  for (const Requests::ToCaller& reply : aReplies) {
    const auto found = counters->find(reply.mAddresses.mService);
    if (reply.mKind == Requests::ReplyKind::Other || found == counters->end()) {
      continue;
    }
    found->second.mReplies->Add();
    if (reply.mKind == Requests::ReplyKind::NotRun) {
      found->second.mNotRun->Add();
    } else if (reply.mKind == Requests::ReplyKind::Lost) {
      found->second.mLost->Add();
    }
  }
}

size_t
RequestPath::ShardOf(const Base::Endpoint& aUpstream) const
{
  return Base::StableHash({ Base::Pack(aUpstream) }) % mShards.size();
}

std::optional<Base::Endpoint>
RequestPath::SelectUpstream(const Membership::View& aView,
                            const Config::ServiceView& aService,
                            const Base::Endpoint& aCaller) const
{
  const Base::TimePoint now = Base::RuntimeClock::now();
  std::optional<Base::Endpoint> best;
  std::tuple<bool, bool, uint64_t> bestScore;
  for (const Membership::Upstream& upstream : aView.mUpstreams) {
    if (upstream.mGeneration != aService.mGeneration || !Membership::TakesNewWork(upstream, now)) {
      continue;
    }
    const bool isSameZone = upstream.mAvailabilityZone == aView.mAvailabilityZone;
    const std::tuple<bool, bool, uint64_t> score(
      IsAdmitted(upstream, aCaller),
      isSameZone,
      Base::StableHash({ Base::Pack(aCaller), Base::Pack(upstream.mEndpoint) }));
    if (!best.has_value() || score > bestScore) {
      best = upstream.mEndpoint;
      bestScore = score;
    }
  }
  return best;
}

Requests::Limits
RequestPath::LimitsFor(size_t aShard) const
{
  Requests::Limits limits;
  for (size_t i = 0; i < mShards.size(); ++i) {
    if (i != aShard) {
      limits.mMaxFlows = Remaining(limits.mMaxFlows, mShards[i]->mFlows);
      limits.mMaxAnswerBytes = Remaining(limits.mMaxAnswerBytes, mShards[i]->mAnswerBytes);
    }
  }
  return limits;
}

/// Calls aFunction with the locked state of a shard and executes the resulting effects after
/// unlocking. Packets of concurrent calls may therefore be reordered, as on any network.
template<typename Function>
void
RequestPath::RunOnShard(size_t aShard, const Function& aFunction)
{
  Shard& shard = *mShards[aShard];
  const Requests::Limits limits = LimitsFor(aShard);
  std::shared_ptr<const Membership::View> view;
  Requests::Effects effects;
  {
    const std::lock_guard<std::mutex> lock(shard.mMutex);
    view = shard.mView.Load();
    const Requests::Context context{ *view,    *shard.mServices.Load(),   mSettings,
                                     limits,   Base::RuntimeClock::now(), shard.mRandom,
                                     WallNow() };
    effects = aFunction(shard.mState, context);
    shard.mFlows = shard.mState.mFlows.mFlows.size();
    shard.mAnswerBytes = shard.mState.mAnswers.mBytes + shard.mState.mAssemblyBytes;
  }
  ExecuteEffects(*view, effects);
}

void
RequestPath::Count(Requests::Event aEvent)
{
  Metrics::Counter* counter = mCounters[static_cast<size_t>(aEvent)];
  if (counter != nullptr) {
    counter->Add();
  }
}

void
RequestPath::ExecuteEffects(const Membership::View& aView, const Requests::Effects& aEffects)
{
  for (Requests::Event event : aEffects.mEvents) {
    Count(event);
  }
  for (const Requests::ToUpstream& packet : aEffects.mToUpstreams) {
    mPorts.mToUpstream(packet.mUpstream, ToProxyAddresses(packet.mAddresses), packet.mPayload);
  }
  if (!aEffects.mToCallers.empty()) {
    CountReplies(aEffects.mToCallers);
  }
  for (const Requests::ToCaller& packet : aEffects.mToCallers) {
    mPorts.mToCaller(Wire::Reversed(ToProxyAddresses(packet.mAddresses)), packet.mPayload);
  }
  for (const Requests::ToPeer& packet : aEffects.mToPeers) {
    const Membership::Member* peer = Membership::FindMember(aView, packet.mInstance);
    if (peer == nullptr) {
      mUnknownPeer.Add();
      continue;
    }
    mPorts.mToPeer(peer->mPeerEndpoint, lw::peer::REQUESTS, packet.mPayload);
  }
}

void
RequestPath::HandleCallerPacket(const Config::ServiceView& aService,
                                const Wire::ProxyAddresses& aAddresses,
                                absl::string_view aPayload)
{
  const absl::StatusOr<Requests::CallerMessage> message =
    Requests::DecodeCallerPacket(mSettings.mTicketKey, ToFlowAddresses(aAddresses), aPayload);
  if (!message.ok()) {
    Count(Requests::ToEvent(message.status()));
    return;
  }
  std::optional<Base::Endpoint> upstream;
  if (message->mPacket.has_open()) {
    upstream = SelectUpstream(*mView.Load(), aService, aAddresses.mSource);
  }
  const Base::Endpoint key = upstream.value_or(message->mTicket.mUpstream);
  RunOnShard(ShardOf(key), [&](Requests::State& aState, const Requests::Context& aContext) {
    return Requests::HandleCallerMessage(aState, aContext, *message, upstream);
  });
}

void
RequestPath::HandleUpstreamPacket(const Config::ServiceView& /*aService*/,
                                  const Base::Endpoint& aUpstream,
                                  absl::string_view aPayload)
{
  lw::upstream::FromUpstream packet;
  if (!packet.ParseFromArray(aPayload.data(), static_cast<int>(aPayload.size()))) {
    Count(Requests::Event::DropMalformed);
    return;
  }
  RunOnShard(ShardOf(aUpstream), [&](Requests::State& aState, const Requests::Context& aContext) {
    return Requests::HandleUpstreamPacket(aState, aContext, aUpstream, packet);
  });
}

void
RequestPath::HandlePeerPayload(const PeerSender& /*aSender*/, absl::string_view aPayload)
{
  const absl::StatusOr<Requests::PeerMessage> message =
    Requests::DecodePeerPayload(mSettings.mTicketKey, aPayload);
  if (!message.ok()) {
    Count(Requests::ToEvent(message.status()));
    return;
  }
  const auto handle = [&](Requests::State& aState, const Requests::Context& aContext) {
    return Requests::HandlePeerMessage(aState, aContext, *message);
  };
  if (message->mUpstream.has_value()) {
    RunOnShard(ShardOf(*message->mUpstream), handle);
    return;
  }
  for (size_t shard = 0; shard < mShards.size(); ++shard) {
    RunOnShard(shard, handle);
  }
}

void
RequestPath::Tick()
{
  UpdateServiceCounters();
  size_t flows = 0;
  for (size_t shard = 0; shard < mShards.size(); ++shard) {
    RunOnShard(shard, [](Requests::State& aState, const Requests::Context& aContext) {
      return Requests::Tick(aState, aContext);
    });
    flows += mShards[shard]->mFlows;
  }
  mOpenFlows.Set(static_cast<int64_t>(flows));
}

void
RequestPath::BeginShutdown()
{
  for (size_t shard = 0; shard < mShards.size(); ++shard) {
    RunOnShard(shard, [](Requests::State& aState, const Requests::Context& aContext) {
      return Requests::BeginLeave(aState, aContext);
    });
  }
}

bool
RequestPath::IsDrained() const
{
  return std::all_of(mShards.begin(), mShards.end(), [](const std::unique_ptr<Shard>& aShard) {
    const std::lock_guard<std::mutex> lock(aShard->mMutex);
    return Requests::IsDrained(aShard->mState);
  });
}

} // namespace Entry

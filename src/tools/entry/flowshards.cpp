#include "flowshards.h"

#include "placement/handover.h"

namespace Entry {

namespace {

using lw::placement::PlacementMessage;
using Placement::DropReason;

/// Limit of docs/design.md for the flow records, and for the cached flows, of one instance.
constexpr uint32_t kMaxFlowsPerInstance = 200000;
/// Limit of the packets that a shard buffers while slots change their owner or the slot table has
/// not arrived yet. Totals 4 MB for all shards. Packets are held for a few milliseconds if the
/// previous owner answers.
constexpr size_t kMaxHeldBytes = 262144;
/// Collecting records takes at most two timeouts of 500 ms.
constexpr std::chrono::milliseconds kMaxHoldTime{ 1500 };

/// Includes the size of PendingPacket, so that the number of empty packets is limited too.
size_t
HeldBytes(absl::string_view aPayload)
{
  return aPayload.size() + sizeof(PendingPacket);
}

std::string
DropCounter(const std::string& aReason)
{
  return "drops_total{reason=\"" + aReason + "\"}";
}

} // namespace

FlowShards::LockedShard::LockedShard(uint32_t aIndex)
  : mState{ aIndex,
            kShards,
            {},
            Placement::FlowTable(kMaxFlowsPerInstance / kShards),
            Placement::FlowTable(kMaxFlowsPerInstance / kShards) }
{
}

FlowShards::Counters::Counters(Metrics::Registry& aMetrics)
  : mSent(aMetrics.CounterFor("opaque_packets_total"))
  , mForwarded(aMetrics.CounterFor("opaque_forwarded_total"))
  , mHeld(aMetrics.CounterFor("opaque_held_total"))
  , mRecordsEvicted(aMetrics.CounterFor("flow_records_evicted_total"))
  , mCacheEvicted(aMetrics.CounterFor("flow_cache_evicted_total"))
  , mMalformed(aMetrics.CounterFor(DropCounter("placement_malformed")))
  , mUnknownMember(aMetrics.CounterFor(DropCounter("placement_unknown_member")))
  , mHeldTooLong(aMetrics.CounterFor(DropCounter("held_too_long")))
  , mHeldFull(aMetrics.CounterFor(DropCounter("held_full")))
  , mRecords(aMetrics.GaugeFor("flow_records"))
  , mCached(aMetrics.GaugeFor("flow_cache"))
  , mTrackedSlots(aMetrics.GaugeFor("tracked_slots"))
{
  for (const DropReason reason :
       { DropReason::NoUpstream, DropReason::UpstreamGone, DropReason::TooManyHops }) {
    mDrops[reason] = &aMetrics.CounterFor(DropCounter(Placement::ReasonName(reason)));
  }
}

FlowShards::FlowShards(const PacketPorts& aPorts,
                       const std::shared_ptr<const Membership::View>& aView,
                       Metrics::Registry& aMetrics)
  : mPorts(aPorts)
  , mCounters(aMetrics)
{
  for (uint32_t index = 0; index < kShards; ++index) {
    mShards[index] = std::make_unique<LockedShard>(index);
    mShards[index]->mView = aView;
  }
}

void
FlowShards::ProcessPacket(const PendingPacket& aPending, absl::string_view aPayload)
{
  LockedShard& shard = ShardOf(aPending.mPacket.mSlot);
  Placement::Decision decision;
  std::shared_ptr<const Membership::View> view;
  {
    const std::lock_guard<std::mutex> lock(shard.mMutex);
    view = shard.mView;
    decision =
      Placement::DecidePacket(shard.mState, aPending.mPacket, *view, Base::RuntimeClock::now());
    if (decision.mVerdict == Placement::Verdict::Hold) {
      Hold(shard, aPending, aPayload);
      return;
    }
  }
  Execute(decision, *view, aPending, aPayload);
}

void
FlowShards::Execute(const Placement::Decision& aDecision,
                    const Membership::View& aView,
                    const PendingPacket& aPending,
                    absl::string_view aPayload)
{
  const Placement::Packet& packet = aPending.mPacket;
  mCounters.mRecordsEvicted.Add(aDecision.mHasEvicted ? 1 : 0);
  PlacementMessage message;
  message.set_generation(packet.mFlow.mGeneration.mValue);
  if (aDecision.mVerdict == Placement::Verdict::Drop) {
    mCounters.mDrops.at(aDecision.mReason)->Add();
    return;
  }
  if (aDecision.mVerdict == Placement::Verdict::SendToUpstream) {
    mCounters.mSent.Add();
    mPorts.mToUpstream(aDecision.mUpstream, aPending.mAddresses, aPayload);
    if (packet.mHops > 0) {
      message.mutable_answer()->set_caller(Base::Pack(packet.mFlow.mCaller));
      message.mutable_answer()->set_upstream(Base::Pack(aDecision.mUpstream));
      Send(aView, { { aPending.mIngressInstance, std::move(message) } });
    }
    return;
  }
  mCounters.mForwarded.Add();
  lw::placement::ForwardedPacket& forwarded = *message.mutable_packet();
  forwarded.set_caller(Base::Pack(packet.mFlow.mCaller));
  forwarded.set_asker(packet.mHops > 0 ? aPending.mIngressInstance.mValue : aView.mSelf.mValue);
  forwarded.set_hops(packet.mHops + 1);
  forwarded.set_payload(aPayload.data(), aPayload.size());
  if (aDecision.mLastUpstream) {
    forwarded.set_last_upstream(Base::Pack(*aDecision.mLastUpstream));
  }
  Send(aView, { { aDecision.mMember, std::move(message) } });
}

void
FlowShards::Hold(LockedShard& aShard, const PendingPacket& aPending, absl::string_view aPayload)
{
  if (aShard.mHeldBytes + HeldBytes(aPayload) > kMaxHeldBytes) {
    mCounters.mHeldFull.Add();
    return;
  }
  mCounters.mHeld.Add();
  aShard.mHeldBytes += HeldBytes(aPayload);
  aShard.mHeld.push_back({ aPending, std::string(aPayload), Base::RuntimeClock::now() });
}

void
FlowShards::RetryHeld(LockedShard& aShard)
{
  struct Ready
  {
    HeldPacket mHeld;
    Placement::Decision mDecision;
  };
  std::vector<Ready> ready;
  std::shared_ptr<const Membership::View> view;
  {
    const std::lock_guard<std::mutex> lock(aShard.mMutex);
    const Base::TimePoint now = Base::RuntimeClock::now();
    view = aShard.mView;
    std::deque<HeldPacket> held;
    held.swap(aShard.mHeld);
    for (HeldPacket& entry : held) {
      if (now - entry.mSince > kMaxHoldTime) {
        aShard.mHeldBytes -= HeldBytes(entry.mPayload);
        mCounters.mHeldTooLong.Add();
        continue;
      }
      const Placement::Decision decision =
        Placement::DecidePacket(aShard.mState, entry.mPending.mPacket, *view, now);
      if (decision.mVerdict == Placement::Verdict::Hold) {
        aShard.mHeld.push_back(std::move(entry));
      } else {
        aShard.mHeldBytes -= HeldBytes(entry.mPayload);
        ready.push_back({ std::move(entry), decision });
      }
    }
  }
  for (const Ready& entry : ready) {
    Execute(entry.mDecision, *view, entry.mHeld.mPending, entry.mHeld.mPayload);
  }
}

void
FlowShards::SetView(const std::shared_ptr<const Membership::View>& aView)
{
  for (const auto& shard : mShards) {
    const std::lock_guard<std::mutex> lock(shard->mMutex);
    shard->mView = aView;
  }
}

void
FlowShards::Update(const std::shared_ptr<const Placement::SlotTable>& aTable,
                   const Placement::ServiceControl& aControl,
                   const std::shared_ptr<const Membership::View>& aView,
                   bool aIsIncremental)
{
  for (const auto& shard : mShards) {
    const std::lock_guard<std::mutex> lock(shard->mMutex);
    shard->mView = aView;
    Placement::UpdateService(shard->mState,
                             aTable,
                             aControl.mUpstreams,
                             aControl.mSettings,
                             *aView,
                             aIsIncremental,
                             Base::RuntimeClock::now());
  }
}

void
FlowShards::Remove(Base::ServiceGeneration aGeneration)
{
  for (const auto& shard : mShards) {
    const std::lock_guard<std::mutex> lock(shard->mMutex);
    Placement::RemoveService(shard->mState, aGeneration);
  }
}

void
FlowShards::CollectUsage(Base::ServiceGeneration aGeneration,
                         std::map<uint16_t, Base::TimePoint>& aUsed)
{
  for (const auto& shard : mShards) {
    const std::lock_guard<std::mutex> lock(shard->mMutex);
    Placement::CollectUsage(shard->mState, aGeneration, aUsed);
  }
}

void
FlowShards::CacheAnswer(const Placement::FlowKey& aFlow,
                        uint16_t aSlot,
                        const Base::Endpoint& aUpstream)
{
  LockedShard& shard = ShardOf(aSlot);
  const std::lock_guard<std::mutex> lock(shard.mMutex);
  const bool hasEvicted =
    Placement::CacheAnswer(shard.mState, aFlow, aSlot, aUpstream, Base::RuntimeClock::now());
  mCounters.mCacheEvicted.Add(hasEvicted ? 1 : 0);
}

void
FlowShards::Tick(const std::shared_ptr<const Membership::View>& aView)
{
  for (const auto& shard : mShards) {
    std::vector<Placement::Outgoing> messages;
    {
      const std::lock_guard<std::mutex> lock(shard->mMutex);
      messages = Placement::TickShard(shard->mState, *aView, Base::RuntimeClock::now());
    }
    Send(*aView, messages);
    RetryHeld(*shard);
  }
  SetGauges();
}

void
FlowShards::HandleMessage(Base::InstanceId aSender, const PlacementMessage& aMessage)
{
  for (const auto& shard : mShards) {
    absl::StatusOr<std::vector<Placement::Outgoing>> messages;
    std::shared_ptr<const Membership::View> view;
    {
      const std::lock_guard<std::mutex> lock(shard->mMutex);
      view = shard->mView;
      messages = Placement::HandleShardMessage(
        shard->mState, aSender, aMessage, *view, Base::RuntimeClock::now());
    }
    if (!messages.ok()) {
      mCounters.mMalformed.Add();
      return;
    }
    Send(*view, *messages);
    RetryHeld(*shard);
  }
}

void
FlowShards::Send(const Membership::View& aView, const std::vector<Placement::Outgoing>& aMessages)
{
  for (const Placement::Outgoing& outgoing : aMessages) {
    const Membership::Member* member = Membership::FindMember(aView, outgoing.mTo);
    if (member == nullptr) {
      mCounters.mUnknownMember.Add();
      continue;
    }
    mPorts.mToPeer(
      member->mPeerEndpoint, lw::peer::PLACEMENT, outgoing.mMessage.SerializeAsString());
  }
}

void
FlowShards::SetGauges()
{
  int64_t records = 0;
  int64_t cached = 0;
  int64_t tracked = 0;
  for (const auto& shard : mShards) {
    const std::lock_guard<std::mutex> lock(shard->mMutex);
    records += shard->mState.mRecords.mSize;
    cached += shard->mState.mCache.mSize;
    for (const auto& [generation, service] : shard->mState.mServices) {
      tracked += static_cast<int64_t>(service.mRoles.size());
    }
  }
  mCounters.mRecords.Set(records);
  mCounters.mCached.Set(cached);
  mCounters.mTrackedSlots.Set(tracked);
}

bool
FlowShards::IsHandedOver(const Membership::View& aView)
{
  for (const auto& shard : mShards) {
    const std::lock_guard<std::mutex> lock(shard->mMutex);
    if (Placement::HasSlotsToHandOver(shard->mState, aView)) {
      return false;
    }
  }
  return true;
}

} // namespace Entry

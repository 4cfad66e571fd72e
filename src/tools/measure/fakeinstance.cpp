#include "measure/fakeinstance.h"

#include "base/hash.h"
#include "placement/handover.h"

#include <iterator>

namespace Measure {

namespace {

using lw::placement::PlacementMessage;

constexpr Base::Duration kMaxHold = 2s;

void
HandleMessage(Cluster& aCluster,
              FakeInstance& aInstance,
              Base::InstanceId aSender,
              const PlacementMessage& aMessage);

Base::Duration
MessageDelay(Cluster& aCluster)
{
  const Base::Duration spread = aCluster.mOptions.mMaxDelay - aCluster.mOptions.mMinDelay;
  return aCluster.mOptions.mMinDelay +
         Base::Duration(Base::NextBelow(aCluster.mRandom, spread.count() + 1));
}

// Calls aHandle for the target after a random delay, unless the message is lost or the target is
// down.
void
Deliver(Cluster& aCluster, Base::InstanceId aTo, std::function<void(FakeInstance&)> aHandle)
{
  if (Base::NextUnit(aCluster.mRandom) < aCluster.mOptions.mLoss) {
    return;
  }
  ScheduleAt(aCluster,
             aCluster.mNow + MessageDelay(aCluster),
             [&aCluster, aTo, handle = std::move(aHandle)] {
               const auto found = aCluster.mInstances.find(aTo);
               if (found != aCluster.mInstances.end() && found->second.mIsRunning) {
                 handle(found->second);
               }
             });
}

void
SendMessages(Cluster& aCluster,
             Base::InstanceId aSender,
             const std::vector<Placement::Outgoing>& aSend)
{
  for (const Placement::Outgoing& outgoing : aSend) {
    aCluster.mCounts.mControlBytes[aSender] += outgoing.mMessage.ByteSizeLong();
    Deliver(aCluster,
            outgoing.mTo,
            [&aCluster, aSender, message = outgoing.mMessage](FakeInstance& aTarget) {
              HandleMessage(aCluster, aTarget, aSender, message);
            });
  }
}

void
UpdateShard(Cluster& aCluster, FakeInstance& aInstance, bool aIsIncremental)
{
  Placement::ServiceControl& control = aInstance.mControl;
  if (control.mCopy.mTable.mVersion.mEpoch == 0 && !control.mCopy.mTable.mPrepared) {
    return;
  }
  Placement::UpdateService(aInstance.mShard,
                           std::make_shared<Placement::SlotTable>(control.mCopy.mTable),
                           control.mUpstreams,
                           control.mSettings,
                           aInstance.mView,
                           aIsIncremental,
                           aCluster.mNow);
}

void
Apply(Cluster& aCluster, FakeInstance& aInstance, const Placement::TableEffects& aEffects)
{
  if (aEffects.mTableChanged) {
    UpdateShard(aCluster, aInstance, aEffects.mIsIncremental);
  }
  SendMessages(aCluster, aInstance.mView.mSelf, aEffects.mSend);
}

const Membership::Upstream*
FindActualUpstream(const Cluster& aCluster, const Base::Endpoint& aUpstream)
{
  for (const Membership::Upstream& upstream : aCluster.mUpstreams) {
    if (upstream.mEndpoint == aUpstream) {
      return &upstream;
    }
  }
  return nullptr;
}

// Simulates the upstream, which keeps a flow from its first packet on.
void
ArriveAtUpstream(Cluster& aCluster, size_t aFlow, const Base::Endpoint& aUpstream, bool aIsOpening)
{
  FakeFlow& flow = aCluster.mFlows[aFlow];
  const Membership::Upstream* upstream = FindActualUpstream(aCluster, aUpstream);
  if (upstream == nullptr) {
    return;
  }
  if (upstream->mGeneration != aCluster.mGeneration) {
    ++aCluster.mCounts.mMisdelivered;
  }
  if (!flow.mFirstUpstream) {
    flow.mFirstUpstream = aUpstream;
    const auto drain = aCluster.mDrainStart.find(aUpstream);
    const bool isLate = drain != aCluster.mDrainStart.end() && aCluster.mNow - drain->second > 3s;
    aCluster.mCounts.mLateNewWork += isLate && aIsOpening ? 1 : 0;
    return;
  }
  if (*flow.mFirstUpstream != aUpstream && !flow.mIsBroken) {
    flow.mIsBroken = true;
    ++aCluster.mCounts.mBroken;
  }
}

void
HandlePacket(Cluster& aCluster,
             FakeInstance& aInstance,
             size_t aFlow,
             const Placement::Packet& aPacket,
             Base::InstanceId aRequester)
{
  const Base::InstanceId self = aInstance.mView.mSelf;
  const Placement::Decision decision =
    Placement::DecidePacket(aInstance.mShard, aPacket, aInstance.mView, aCluster.mNow);
  switch (decision.mVerdict) {
    case Placement::Verdict::SendToUpstream:
      ArriveAtUpstream(aCluster, aFlow, decision.mUpstream, aPacket.mIsOpening);
      if (aRequester != self) {
        const Base::Endpoint upstream = decision.mUpstream;
        Deliver(aCluster, aRequester, [&aCluster, aPacket, upstream](FakeInstance& aTarget) {
          Placement::CacheAnswer(
            aTarget.mShard, aPacket.mFlow, aPacket.mSlot, upstream, aCluster.mNow);
        });
      }
      return;
    case Placement::Verdict::ForwardToMember: {
      ++aCluster.mCounts.mForwarded;
      Placement::Packet packet = aPacket;
      ++packet.mHops;
      packet.mLastUpstream = decision.mLastUpstream;
      Deliver(
        aCluster, decision.mMember, [&aCluster, aFlow, packet, aRequester](FakeInstance& aTarget) {
          HandlePacket(aCluster, aTarget, aFlow, packet, aRequester);
        });
      return;
    }
    case Placement::Verdict::Hold:
      aInstance.mHeld.push_back({ aPacket, aRequester, aFlow, aCluster.mNow });
      return;
    case Placement::Verdict::Drop:
      ++aCluster.mCounts.mDropped;
      return;
  }
}

void
RetryHeld(Cluster& aCluster, FakeInstance& aInstance)
{
  const std::deque<FakeInstance::Held> held = std::move(aInstance.mHeld);
  aInstance.mHeld.clear();
  for (const FakeInstance::Held& entry : held) {
    if (aCluster.mNow - entry.mSince > kMaxHold) {
      ++aCluster.mCounts.mDropped;
      continue;
    }
    HandlePacket(aCluster, aInstance, entry.mFlow, entry.mPacket, entry.mRequester);
  }
}

void
HandleMessage(Cluster& aCluster,
              FakeInstance& aInstance,
              Base::InstanceId aSender,
              const PlacementMessage& aMessage)
{
  if (Placement::IsControlMessage(aMessage)) {
    const auto effects =
      Placement::HandleControlMessage(aInstance.mControl, aSender, aMessage, aCluster.mNow);
    if (effects.ok()) {
      Apply(aCluster, aInstance, *effects);
    }
    return;
  }
  const auto send = Placement::HandleShardMessage(
    aInstance.mShard, aSender, aMessage, aInstance.mView, aCluster.mNow);
  if (send.ok()) {
    SendMessages(aCluster, aInstance.mView.mSelf, *send);
  }
  RetryHeld(aCluster, aInstance);
}

// Rendezvous hashing over the live upstreams in the view of the instance. It moves the fewest flows
// of all stateless hashes.
std::optional<Base::Endpoint>
SelectByPlainHash(const FakeInstance& aInstance, uint64_t aFlowHash, Base::TimePoint aNow)
{
  std::optional<Base::Endpoint> best;
  uint64_t bestScore = 0;
  for (const Membership::Upstream& upstream : aInstance.mView.mUpstreams) {
    if (!Membership::TakesNewWork(upstream, aNow)) {
      continue;
    }
    // One draw for each unit of weight makes the shares proportional to the weights.
    for (uint32_t unit = 0; unit < upstream.mSlots; ++unit) {
      const uint64_t score = Base::StableHash({ aFlowHash, Base::Pack(upstream.mEndpoint), unit });
      if (!best || score > bestScore) {
        best = upstream.mEndpoint;
        bestScore = score;
      }
    }
  }
  return best;
}

void
PlaceByPlainHash(Cluster& aCluster, const FakeInstance& aInstance, FakeFlow& aFlow)
{
  const uint64_t hash = Base::StableHash({ Base::Pack(aFlow.mCaller) });
  const std::optional<Base::Endpoint> upstream = SelectByPlainHash(aInstance, hash, aCluster.mNow);
  if (!upstream || FindActualUpstream(aCluster, *upstream) == nullptr) {
    return;
  }
  if (!aFlow.mPlainHashFirstUpstream) {
    aFlow.mPlainHashFirstUpstream = upstream;
  } else if (aFlow.mPlainHashFirstUpstream != upstream && !aFlow.mIsPlainHashBroken) {
    aFlow.mIsPlainHashBroken = true;
    ++aCluster.mCounts.mPlainHashBroken;
  }
}

} // namespace

void
TickInstance(Cluster& aCluster, FakeInstance& aInstance)
{
  const Base::ServiceGeneration generation = aCluster.mGeneration;
  const Placement::TableEffects effects = Placement::TickControl(
    aInstance.mControl,
    aInstance.mView,
    [&](std::map<uint16_t, Base::TimePoint>& aUsed) {
      Placement::CollectUsage(aInstance.mShard, generation, aUsed);
    },
    aCluster.mNow);
  UpdateShard(aCluster, aInstance, !effects.mTableChanged || effects.mIsIncremental);
  SendMessages(aCluster, aInstance.mView.mSelf, effects.mSend);
  SendMessages(aCluster,
               aInstance.mView.mSelf,
               Placement::TickShard(aInstance.mShard, aInstance.mView, aCluster.mNow));
  RetryHeld(aCluster, aInstance);
}

void
SendFlowPacket(Cluster& aCluster, size_t aFlow)
{
  std::vector<Base::InstanceId> targets;
  for (const auto& [id, instance] : aCluster.mInstances) {
    targets.push_back(id);
  }
  if (targets.empty()) {
    return;
  }
  FakeInstance& instance =
    aCluster.mInstances.at(targets[Base::NextBelow(aCluster.mRandom, targets.size())]);
  FakeFlow& flow = aCluster.mFlows[aFlow];
  ++aCluster.mCounts.mPackets;
  if (!instance.mIsRunning) {
    return; // The packet is lost. The caller retransmits it at its next interval.
  }
  Placement::Packet packet;
  packet.mFlow = { aCluster.mGeneration, flow.mCaller };
  packet.mSlot = Placement::SlotOf(aCluster.mGeneration, flow.mCaller, aCluster.mService);
  packet.mIsOpening = aCluster.mOptions.mSettings.mHasOpeningMark &&
                      (flow.mPacketsSent < kOpeningPackets || !flow.mFirstUpstream);
  ++flow.mPacketsSent;
  PlaceByPlainHash(aCluster, instance, flow);
  HandlePacket(aCluster, instance, aFlow, packet, instance.mView.mSelf);
}

} // namespace Measure

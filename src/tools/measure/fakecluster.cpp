#include "measure/fakecluster.h"

#include "measure/fakeinstance.h"

#include <algorithm>

namespace Measure {

namespace {

constexpr Base::Duration kLease = 5s;
constexpr Base::Duration kRenewal = 1s;
constexpr Base::Duration kTick = 50ms;
constexpr Base::Duration kDeathDetection = 5s;
constexpr Base::Duration kLeaveDuration = 3s;
constexpr Base::Duration kRestartDowntime = 2s;
constexpr uint32_t kInitialSlots = 3;
constexpr uint32_t kFirstUpstream = 0x7F000101;
constexpr uint32_t kFirstCaller = 0x0B000001;
constexpr uint16_t kPort = 9000;

Base::Duration
RandomUpTo(Cluster& aCluster, Base::Duration aMax)
{
  return Base::Duration(Base::NextBelow(aCluster.mRandom, aMax.count() + 1));
}

void
TickPeriodically(Cluster& aCluster, Base::InstanceId aId, Base::Incarnation aIncarnation)
{
  const auto found = aCluster.mInstances.find(aId);
  if (found == aCluster.mInstances.end() || !found->second.mIsRunning ||
      found->second.mView.mIncarnation != aIncarnation) {
    return;
  }
  TickInstance(aCluster, found->second);
  ScheduleAt(aCluster, aCluster.mNow + kTick, [&aCluster, aId, aIncarnation] {
    TickPeriodically(aCluster, aId, aIncarnation);
  });
}

// Lease renewals are propagated without delay; only state changes are delayed.
void
CopyLeases(const Cluster& aCluster, FakeInstance& aInstance)
{
  for (const Membership::Upstream& upstream : aCluster.mUpstreams) {
    for (Membership::Upstream& known : aInstance.mView.mUpstreams) {
      if (known.mEndpoint == upstream.mEndpoint && known.mGeneration == upstream.mGeneration) {
        known.mLeaseEnd = upstream.mLeaseEnd;
      }
    }
  }
}

void
RenewPeriodically(Cluster& aCluster)
{
  for (Membership::Upstream& upstream : aCluster.mUpstreams) {
    upstream.mLeaseEnd = aCluster.mNow + kLease;
  }
  for (auto& [id, instance] : aCluster.mInstances) {
    CopyLeases(aCluster, instance);
  }
  ScheduleAt(aCluster, aCluster.mNow + kRenewal, [&aCluster] { RenewPeriodically(aCluster); });
}

void
SendPeriodically(Cluster& aCluster, size_t aFlow)
{
  SendFlowPacket(aCluster, aFlow);
  // The handshake takes three opening packets, 2 ms apart.
  const bool isOpening = aCluster.mFlows[aFlow].mPacketsSent < kOpeningPackets;
  const Base::Duration pause = isOpening
                                 ? Base::Duration(2ms)
                                 : RandomUpTo(aCluster, aCluster.mOptions.mMeanPacketInterval * 2);
  ScheduleAt(
    aCluster, aCluster.mNow + pause, [&aCluster, aFlow] { SendPeriodically(aCluster, aFlow); });
}

Membership::Member*
FindActualMember(Cluster& aCluster, Base::InstanceId aId)
{
  for (Membership::Member& member : aCluster.mMembers) {
    if (member.mId == aId) {
      return &member;
    }
  }
  return nullptr;
}

void
RemoveActualMember(Cluster& aCluster, Base::InstanceId aId)
{
  auto& members = aCluster.mMembers;
  members.erase(
    std::remove_if(members.begin(),
                   members.end(),
                   [aId](const Membership::Member& aMember) { return aMember.mId == aId; }),
    members.end());
}

Membership::Upstream*
FindActualUpstream(Cluster& aCluster, const Base::Endpoint& aUpstream)
{
  for (Membership::Upstream& upstream : aCluster.mUpstreams) {
    if (upstream.mEndpoint == aUpstream) {
      return &upstream;
    }
  }
  return nullptr;
}

void
SpreadWithinViewDelay(Cluster& aCluster)
{
  SpreadMembership(aCluster, aCluster.mOptions.mMaxViewDelay);
}

} // namespace

FakeInstance::FakeInstance(uint32_t aRecordCapacity)
  : mShard{ 0, 1, {}, Placement::FlowTable(aRecordCapacity), Placement::FlowTable(aRecordCapacity) }
{
}

void
ScheduleAt(Cluster& aCluster, Base::TimePoint aTime, std::function<void()> aRun)
{
  aCluster.mEvents.push({ aTime, aCluster.mNextOrder++, std::move(aRun) });
}

void
Start(Cluster& aCluster, const ClusterOptions& aOptions)
{
  aCluster.mOptions = aOptions;
  aCluster.mRandom.mState = aOptions.mSeed;
  aCluster.mNow = Base::TimePoint(1000s);
  for (uint32_t i = 0; i < aOptions.mUpstreams; ++i) {
    AddUpstream(aCluster);
  }
  for (uint32_t id = 1; id <= aOptions.mInstances; ++id) {
    AddInstance(aCluster, Base::InstanceId(id));
  }
  RenewPeriodically(aCluster);
  constexpr Base::Duration kSettle = 15s; // Slow start takes 10 s.
  RunFor(aCluster, kSettle);
  OpenFlows(aCluster, aOptions.mFlows);
  RunFor(aCluster, 2s);
}

void
RunFor(Cluster& aCluster, Base::Duration aTime)
{
  const Base::TimePoint end = aCluster.mNow + aTime;
  while (!aCluster.mEvents.empty() && aCluster.mEvents.top().mAt <= end) {
    const Cluster::Event event = aCluster.mEvents.top();
    aCluster.mEvents.pop();
    aCluster.mNow = event.mAt;
    event.mRun();
  }
  aCluster.mNow = end;
}

void
OpenFlows(Cluster& aCluster, uint32_t aCount)
{
  for (uint32_t i = 0; i < aCount; ++i) {
    FakeFlow flow;
    flow.mCaller = { kFirstCaller + aCluster.mNextCaller++, kPort };
    aCluster.mFlows.push_back(flow);
    const size_t index = aCluster.mFlows.size() - 1;
    ScheduleAt(aCluster, aCluster.mNow + RandomUpTo(aCluster, 1s), [&aCluster, index] {
      SendPeriodically(aCluster, index);
    });
  }
}

void
SpreadMembership(Cluster& aCluster, Base::Duration aMaxDelay)
{
  const auto members = aCluster.mMembers;
  const auto upstreams = aCluster.mUpstreams;
  const uint64_t version = ++aCluster.mMembershipVersion;
  for (const auto& [id, instance] : aCluster.mInstances) {
    const Base::InstanceId target = id;
    ScheduleAt(aCluster,
               aCluster.mNow + RandomUpTo(aCluster, aMaxDelay),
               [&aCluster, target, members, upstreams, version] {
                 const auto found = aCluster.mInstances.find(target);
                 const bool isNewer =
                   found != aCluster.mInstances.end() && found->second.mMembershipVersion < version;
                 if (isNewer) {
                   found->second.mMembershipVersion = version;
                   found->second.mView.mMembers = members;
                   found->second.mView.mUpstreams = upstreams;
                   CopyLeases(aCluster, found->second);
                   TickInstance(aCluster, found->second);
                 }
               });
  }
}

void
AddInstance(Cluster& aCluster, Base::InstanceId aId)
{
  Membership::Member member;
  member.mId = aId;
  member.mIncarnation = Base::Incarnation(Base::NextRandom(aCluster.mRandom));
  RemoveActualMember(aCluster, aId);
  aCluster.mMembers.push_back(member);
  std::sort(aCluster.mMembers.begin(),
            aCluster.mMembers.end(),
            [](const auto& aLeft, const auto& aRight) { return aLeft.mId < aRight.mId; });
  aCluster.mInstances.erase(aId);
  const auto entry =
    aCluster.mInstances.try_emplace(aId, FakeInstance(aCluster.mOptions.mRecordCapacity)).first;
  FakeInstance& instance = entry->second;
  instance.mControl =
    Placement::MakeServiceControl(aCluster.mGeneration, aCluster.mOptions.mSettings);
  instance.mMembershipVersion = aCluster.mMembershipVersion;
  instance.mView.mSelf = aId;
  instance.mView.mIncarnation = member.mIncarnation;
  instance.mView.mMembers = aCluster.mMembers;
  instance.mView.mUpstreams = aCluster.mUpstreams;
  ScheduleAt(aCluster,
             aCluster.mNow + RandomUpTo(aCluster, kTick),
             [&aCluster, aId, incarnation = member.mIncarnation] {
               TickPeriodically(aCluster, aId, incarnation);
             });
  SpreadWithinViewDelay(aCluster);
}

void
KillInstance(Cluster& aCluster, Base::InstanceId aId)
{
  aCluster.mInstances.at(aId).mIsRunning = false;
  ScheduleAt(aCluster, aCluster.mNow + kDeathDetection, [&aCluster, aId] {
    RemoveActualMember(aCluster, aId);
    aCluster.mInstances.erase(aId);
    SpreadWithinViewDelay(aCluster);
  });
}

void
LeaveInstance(Cluster& aCluster, Base::InstanceId aId)
{
  FindActualMember(aCluster, aId)->mState = Membership::MemberState::Leaving;
  SpreadWithinViewDelay(aCluster);
  ScheduleAt(aCluster, aCluster.mNow + kLeaveDuration, [&aCluster, aId] {
    RemoveActualMember(aCluster, aId);
    aCluster.mInstances.erase(aId);
    SpreadWithinViewDelay(aCluster);
  });
}

void
RestartInstance(Cluster& aCluster, Base::InstanceId aId)
{
  LeaveInstance(aCluster, aId);
  ScheduleAt(aCluster, aCluster.mNow + kLeaveDuration + kRestartDowntime, [&aCluster, aId] {
    AddInstance(aCluster, aId);
  });
}

Base::Endpoint
AddUpstream(Cluster& aCluster)
{
  Membership::Upstream upstream;
  upstream.mEndpoint = { kFirstUpstream, kPort };
  while (FindActualUpstream(aCluster, upstream.mEndpoint) != nullptr) {
    ++upstream.mEndpoint.mAddress;
  }
  upstream.mGeneration = aCluster.mGeneration;
  upstream.mSlots = kInitialSlots;
  upstream.mUsableFrom = aCluster.mNow;
  upstream.mLeaseEnd = aCluster.mNow + kLease;
  aCluster.mUpstreams.push_back(upstream);
  std::sort(
    aCluster.mUpstreams.begin(),
    aCluster.mUpstreams.end(),
    [](const auto& aLeft, const auto& aRight) { return aLeft.mEndpoint < aRight.mEndpoint; });
  SpreadWithinViewDelay(aCluster);
  return upstream.mEndpoint;
}

void
DrainUpstream(Cluster& aCluster, const Base::Endpoint& aUpstream)
{
  FindActualUpstream(aCluster, aUpstream)->mState = Membership::UpstreamState::Draining;
  aCluster.mDrainStart[aUpstream] = aCluster.mNow;
  SpreadWithinViewDelay(aCluster);
}

void
RemoveUpstream(Cluster& aCluster, const Base::Endpoint& aUpstream)
{
  auto& upstreams = aCluster.mUpstreams;
  upstreams.erase(std::remove_if(upstreams.begin(),
                                 upstreams.end(),
                                 [&](const Membership::Upstream& aOther) {
                                   return aOther.mEndpoint == aUpstream;
                                 }),
                  upstreams.end());
  for (FakeFlow& flow : aCluster.mFlows) {
    // The flow ended with its upstream. Marking it as broken keeps it out of the counters.
    flow.mIsBroken = flow.mIsBroken || flow.mFirstUpstream == aUpstream;
    flow.mIsPlainHashBroken = flow.mIsPlainHashBroken || flow.mPlainHashFirstUpstream == aUpstream;
  }
  SpreadWithinViewDelay(aCluster);
}

void
SetWeight(Cluster& aCluster, const Base::Endpoint& aUpstream, uint32_t aWeight)
{
  FindActualUpstream(aCluster, aUpstream)->mSlots = aWeight;
  SpreadWithinViewDelay(aCluster);
}

std::map<Base::Endpoint, uint64_t>
FlowsByUpstream(const Cluster& aCluster)
{
  std::map<Base::Endpoint, uint64_t> counts;
  for (const FakeFlow& flow : aCluster.mFlows) {
    if (flow.mFirstUpstream) {
      ++counts[*flow.mFirstUpstream];
    }
  }
  return counts;
}

} // namespace Measure

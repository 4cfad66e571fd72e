#include "placement/decision.h"

#include "base/hash.h"

namespace Placement {

namespace {

constexpr uint8_t kLongHeaderBit = 0x80;

// A cached answer is confirmed with the owner in this part of the flow idle time, which keeps the
// owner's record of a flow that is in use from becoming the longest idle one.
constexpr int kRefreshesInIdleTime = 4;

struct Context
{
  Shard& mShard;
  ServiceShard& mService;
  SlotRole& mRole;
  const Packet& mPacket;
  const Membership::View& mView;
  Base::TimePoint mNow;
};

Decision
Drop(DropReason aReason)
{
  Decision decision;
  decision.mReason = aReason;
  return decision;
}

Decision
Hold()
{
  Decision decision;
  decision.mVerdict = Verdict::Hold;
  return decision;
}

Decision
Send(const Base::Endpoint& aUpstream)
{
  Decision decision;
  decision.mVerdict = Verdict::SendToUpstream;
  decision.mUpstream = aUpstream;
  return decision;
}

Decision
Forward(const Packet& aPacket, Base::InstanceId aMember)
{
  if (aPacket.mHops >= kMaxHops) {
    return Drop(DropReason::TooManyHops);
  }
  Decision decision;
  decision.mVerdict = Verdict::ForwardToMember;
  decision.mMember = aMember;
  decision.mLastUpstream = aPacket.mLastUpstream;
  return decision;
}

bool
IsUsable(const Context& aContext, const Base::Endpoint& aUpstream)
{
  const UpstreamStatus* status = FindUpstream(aContext.mService.mUpstreams, aUpstream);
  return status != nullptr && IsUsable(*status, aContext.mNow);
}

bool
TakesNewFlows(const Context& aContext, const Base::Endpoint& aUpstream)
{
  const UpstreamStatus* status = FindUpstream(aContext.mService.mUpstreams, aUpstream);
  return status != nullptr && TakesNewFlows(*status, aContext.mService.mSettings, aContext.mNow);
}

Base::Endpoint
CurrentUpstream(const Context& aContext)
{
  const SlotTable& table = *aContext.mService.mTable;
  const uint16_t current = table.mSlots[aContext.mPacket.mSlot].mCurrent;
  return current == kNoUpstream ? Base::Endpoint() : table.mUpstreams[current];
}

// Keeps the slot ambiguous while packets go to upstreams other than the current one.
Decision
SendTracked(Context& aContext, const Base::Endpoint& aUpstream)
{
  if (aUpstream != CurrentUpstream(aContext)) {
    aContext.mRole.mOlderUsed = aContext.mNow;
  }
  return Send(aUpstream);
}

// The upstream for new flows of a slot: the current one, else the one to which the slot is about to
// move, else any active one until the publisher has moved the slot.
std::optional<Base::Endpoint>
UpstreamForNewFlow(const Context& aContext)
{
  const SlotTable& table = *aContext.mService.mTable;
  const Base::Endpoint current = CurrentUpstream(aContext);
  if (TakesNewFlows(aContext, current)) {
    return current;
  }
  if (table.mPrepared) {
    const auto change = table.mPrepared->mSlots.find(aContext.mPacket.mSlot);
    if (change != table.mPrepared->mSlots.end() && change->second.mTarget != kNoUpstream) {
      const Base::Endpoint& target = table.mUpstreams[change->second.mTarget];
      if (TakesNewFlows(aContext, target)) {
        return target;
      }
    }
  }
  std::optional<Base::Endpoint> best;
  uint64_t bestScore = 0;
  const uint64_t key = OwnerKey(table.mGeneration, aContext.mPacket.mSlot);
  for (const UpstreamStatus& upstream : aContext.mService.mUpstreams) {
    const uint64_t score = Base::StableHash({ key, Base::Pack(upstream.mEndpoint) });
    if (IsActive(upstream, aContext.mNow) && (!best || score > bestScore)) {
      best = upstream.mEndpoint;
      bestScore = score;
    }
  }
  return best;
}

Decision
SendAndRecord(Context& aContext, const Base::Endpoint& aUpstream)
{
  FlowRecord record;
  record.mKey = aContext.mPacket.mFlow;
  record.mUpstream = aUpstream;
  record.mSlot = aContext.mPacket.mSlot;
  record.mOpened = aContext.mNow;
  record.mLastUsed = aContext.mNow;
  const bool hasEvicted = Insert(aContext.mShard.mRecords, record);
  Decision decision = SendTracked(aContext, aUpstream);
  decision.mHasEvicted = hasEvicted;
  return decision;
}

Decision
PlaceNewFlow(Context& aContext)
{
  const std::optional<Base::Endpoint> upstream = UpstreamForNewFlow(aContext);
  return upstream ? SendAndRecord(aContext, *upstream) : Drop(DropReason::NoUpstream);
}

// Without opening mark an unknown flow counts as new once an older upstream has been replaced.
bool
IsUnknownFlowNew(const Context& aContext)
{
  if (aContext.mService.mSettings.mHasOpeningMark) {
    return aContext.mPacket.mIsOpening;
  }
  return aContext.mService.mTable->mHistory.count(aContext.mPacket.mSlot) > 0;
}

Decision
PlaceByDefault(Context& aContext)
{
  const SlotTable& table = *aContext.mService.mTable;
  for (const uint16_t index : DefaultOrder(table, aContext.mPacket.mSlot)) {
    const Base::Endpoint& upstream = table.mUpstreams[index];
    if (!IsUsable(aContext, upstream)) {
      continue;
    }
    // Without opening mark the record tells a flow of before the change from a later one.
    return aContext.mService.mSettings.mHasOpeningMark ? SendTracked(aContext, upstream)
                                                       : SendAndRecord(aContext, upstream);
  }
  return Drop(DropReason::UpstreamGone);
}

bool
IsAlive(const Context& aContext, const FlowRecord& aRecord)
{
  return aContext.mNow - aRecord.mLastUsed < aContext.mService.mSettings.mFlowIdle;
}

// An opening packet long after the first one starts another flow with the same addresses. It may
// not go to an upstream that takes no new work.
bool
IsReopened(const Context& aContext, const FlowRecord& aRecord)
{
  return aContext.mPacket.mIsOpening &&
         aContext.mNow - aRecord.mOpened > aContext.mService.mSettings.mHandshake &&
         !TakesNewFlows(aContext, aRecord.mUpstream);
}

Decision
DecideAsOwner(Context& aContext)
{
  FlowRecord* record = Find(aContext.mShard.mRecords, aContext.mPacket.mFlow);
  if (record != nullptr && IsAlive(aContext, *record)) {
    const bool isUsable = IsUsable(aContext, record->mUpstream);
    if (isUsable && !IsReopened(aContext, *record)) {
      Touch(aContext.mShard.mRecords, *record, aContext.mNow);
      return SendTracked(aContext, record->mUpstream);
    }
    return isUsable || IsUnknownFlowNew(aContext) ? PlaceNewFlow(aContext)
                                                  : Drop(DropReason::UpstreamGone);
  }
  const std::optional<Base::Endpoint>& last = aContext.mPacket.mLastUpstream;
  const bool isLastValid = last && (aContext.mPacket.mIsOpening ? TakesNewFlows(aContext, *last)
                                                                : IsUsable(aContext, *last));
  if (isLastValid) {
    return SendAndRecord(aContext, *last);
  }
  return IsUnknownFlowNew(aContext) ? PlaceNewFlow(aContext) : PlaceByDefault(aContext);
}

Decision
DecideAsOther(Context& aContext, Base::InstanceId aOwner)
{
  FlowTable* const table = &aContext.mShard.mCache;
  FlowRecord* answer = Find(*table, aContext.mPacket.mFlow);
  if (answer == nullptr || !IsAlive(aContext, *answer) || !IsUsable(aContext, answer->mUpstream)) {
    return Forward(aContext.mPacket, aOwner);
  }
  const Base::Duration age = aContext.mNow - answer->mOpened;
  const Settings& settings = aContext.mService.mSettings;
  const Base::Duration valid =
    aContext.mPacket.mIsOpening ? settings.mHandshake : settings.mFlowIdle / kRefreshesInIdleTime;
  if (age <= valid) {
    Touch(*table, *answer, aContext.mNow);
    return SendTracked(aContext, answer->mUpstream);
  }
  Decision decision = Forward(aContext.mPacket, aOwner);
  if (aContext.mPacket.mHops == 0) {
    decision.mLastUpstream = answer->mUpstream;
  }
  return decision;
}

Decision
DecideWithoutTable(const Packet& aPacket, const Membership::View& aView)
{
  Membership::View others = aView;
  for (Membership::Member& member : others.mMembers) {
    if (member.mId == aView.mSelf) {
      member.mState = Membership::MemberState::Leaving;
    }
  }
  const uint64_t key = OwnerKey(aPacket.mFlow.mGeneration, aPacket.mSlot);
  const Membership::Member* owner = Membership::RendezvousMember(others, key);
  // Peers forward to an instance that has just started and whose table is on its way.
  return owner == nullptr || aPacket.mHops > 0 ? Hold() : Forward(aPacket, owner->mId);
}

Decision
DecideTracked(Context& aContext)
{
  switch (aContext.mRole.mState) {
    case RoleState::Ready:
      return DecideAsOwner(aContext);
    case RoleState::Collecting:
      return Hold();
    case RoleState::HandedOver:
      return DecideAsOther(aContext, aContext.mRole.mHandedTo);
    case RoleState::Remote:
      return DecideAsOther(aContext, aContext.mRole.mOwner);
  }
  return Hold();
}

} // namespace

Decision
DecidePacket(Shard& aShard,
             const Packet& aPacket,
             const Membership::View& aView,
             Base::TimePoint aNow)
{
  const auto found = aShard.mServices.find(aPacket.mFlow.mGeneration);
  if (found == aShard.mServices.end() || found->second.mTable == nullptr ||
      found->second.mTable->mVersion.mEpoch == 0) {
    return DecideWithoutTable(aPacket, aView);
  }
  ServiceShard& service = found->second;
  const SlotTable& table = *service.mTable;
  const Slot& slot = table.mSlots[aPacket.mSlot];
  if (slot.mCurrent == kNoUpstream) {
    return Drop(DropReason::NoUpstream);
  }
  const UpstreamStatus& current = service.mByIndex[slot.mCurrent];
  if (!slot.mAmbiguous && TakesNewFlows(current, service.mSettings, aNow)) {
    return Send(current.mEndpoint);
  }
  const auto role = service.mRoles.find(aPacket.mSlot);
  if (role == service.mRoles.end()) {
    const bool mayFollow = !aPacket.mIsOpening && IsUsable(current, aNow);
    return mayFollow ? Send(current.mEndpoint) : Drop(DropReason::UpstreamGone);
  }
  Context context = { aShard, service, role->second, aPacket, aView, aNow };
  return DecideTracked(context);
}

bool
CacheAnswer(Shard& aShard,
            const FlowKey& aFlow,
            uint16_t aSlot,
            const Base::Endpoint& aUpstream,
            Base::TimePoint aNow)
{
  FlowRecord record;
  record.mKey = aFlow;
  record.mUpstream = aUpstream;
  record.mSlot = aSlot;
  record.mOpened = aNow;
  record.mLastUsed = aNow;
  return Insert(aShard.mCache, record);
}

bool
HasOpeningMark(absl::string_view aPayload)
{
  return !aPayload.empty() && (static_cast<uint8_t>(aPayload[0]) & kLongHeaderBit) != 0;
}

const char*
ReasonName(DropReason aReason)
{
  switch (aReason) {
    case DropReason::None:
      return "none";
    case DropReason::NoUpstream:
      return "no_upstream";
    case DropReason::UpstreamGone:
      return "upstream_gone";
    case DropReason::TooManyHops:
      return "too_many_hops";
  }
  return "unknown";
}

} // namespace Placement

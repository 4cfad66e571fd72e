#include "placement/decision.h"

#include "base/hash.h"

namespace Placement {

namespace {

constexpr uint8_t kLongHeaderBit = 0x80;

// Cached answers are refreshed at the owner this often per flow idle time, so that the owner does
// not evict the record of a flow in use as the longest idle one.
constexpr int kRefreshesPerIdleTime = 4;

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

// Records packets to upstreams other than the current one, which keep the slot ambiguous.
Decision
SendTracked(Context& aContext, const Base::Endpoint& aUpstream)
{
  if (aUpstream != CurrentUpstream(aContext)) {
    aContext.mRole.mOlderUpstreamUsedAt = aContext.mNow;
  }
  return Send(aUpstream);
}

// Returns the upstream for new flows of a slot: the current one, else the target of the prepared
// change, else an active one selected by hash until the publisher has moved the slot.
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

// Without opening marks, an unknown flow counts as new if the slot's upstream has been replaced.
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
    // Without opening marks, only the record distinguishes a flow from before the change.
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

// An opening packet after the handshake timeout starts a new flow with the same addresses, which
// must not go to an upstream that takes no new flows.
bool
IsReopened(const Context& aContext, const FlowRecord& aRecord)
{
  return aContext.mPacket.mIsOpening &&
         aContext.mNow - aRecord.mOpened > aContext.mService.mSettings.mHandshakeTimeout &&
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
DecideAsNonOwner(Context& aContext, Base::InstanceId aOwner)
{
  FlowTable* const table = &aContext.mShard.mCache;
  FlowRecord* answer = Find(*table, aContext.mPacket.mFlow);
  if (answer == nullptr || !IsAlive(aContext, *answer) || !IsUsable(aContext, answer->mUpstream)) {
    return Forward(aContext.mPacket, aOwner);
  }
  const Base::Duration age = aContext.mNow - answer->mOpened;
  const Settings& settings = aContext.mService.mSettings;
  const Base::Duration valid = aContext.mPacket.mIsOpening
                                 ? settings.mHandshakeTimeout
                                 : settings.mFlowIdle / kRefreshesPerIdleTime;
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
  // A forwarded packet is held, because peers may select an instance that has just started as owner
  // before its table arrives.
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
      return DecideAsNonOwner(aContext, aContext.mRole.mHandedOverTo);
    case RoleState::Remote:
      return DecideAsNonOwner(aContext, aContext.mRole.mOwner);
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
  const UpstreamStatus& current = service.mStatusByIndex[slot.mCurrent];
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

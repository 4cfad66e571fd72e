#include "placement/handover.h"

#include <algorithm>

namespace Placement {

namespace {

using lw::placement::PlacementMessage;
using lw::placement::SlotContent;

// Keeps a SlotRecords message below 24 KB.
constexpr uint32_t kMaxRecordsPerMessage = 1000;

bool
IsComplete(const PendingPeer& aPeer)
{
  return aPeer.mTotal > 0 && aPeer.mParts.size() >= aPeer.mTotal;
}

void
RequestFromAllPeers(SlotRole& aRole, const Membership::View& aView, Base::TimePoint aNow)
{
  aRole.mRequestedFromAllPeers = true;
  aRole.mChangedAt = aNow;
  aRole.mNextResend = aNow;
  for (const Membership::Member& member : aView.mMembers) {
    if (member.mId != aView.mSelf) {
      aRole.mPendingPeers.try_emplace(member.mId);
    }
  }
}

void
EndCollecting(SlotRole& aRole, Base::TimePoint aNow)
{
  aRole.mState = RoleState::Ready;
  aRole.mChangedAt = aNow;
  aRole.mPendingPeers.clear();
}

bool
HasAllRecords(const SlotRole& aRole)
{
  return std::all_of(aRole.mPendingPeers.begin(),
                     aRole.mPendingPeers.end(),
                     [](const auto& aEntry) { return IsComplete(aEntry.second); });
}

using FlowsBySlot = std::map<uint16_t, std::map<Base::Endpoint, FlowRecord>>;

// Collects the flows of all requested slots in one pass. Records take precedence over cached
// answers.
FlowsBySlot
KnownFlows(const Shard& aShard,
           Base::ServiceGeneration aGeneration,
           const std::set<uint16_t>& aSlots)
{
  FlowsBySlot flows;
  const auto add = [&](const FlowRecord& aRecord) {
    if (aRecord.mKey.mGeneration == aGeneration && aSlots.count(aRecord.mSlot) > 0) {
      flows[aRecord.mSlot].try_emplace(aRecord.mKey.mCaller, aRecord);
    }
  };
  ForEach(aShard.mRecords, add);
  ForEach(aShard.mCache, add);
  return flows;
}

// Splits slot contents into messages of limited size.
struct RecordsWriter
{
  Base::ServiceGeneration mGeneration;
  Base::InstanceId mTo;
  std::vector<Outgoing> mMessages;
  uint32_t mFreeRecords = 0;
};

SlotContent&
AddContent(RecordsWriter& aWriter)
{
  if (aWriter.mFreeRecords == 0) {
    Outgoing outgoing;
    outgoing.mTo = aWriter.mTo;
    outgoing.mMessage.set_generation(aWriter.mGeneration.mValue);
    outgoing.mMessage.mutable_records();
    aWriter.mMessages.push_back(std::move(outgoing));
    aWriter.mFreeRecords = kMaxRecordsPerMessage;
  }
  --aWriter.mFreeRecords; // Content without records counts too.
  return *aWriter.mMessages.back().mMessage.mutable_records()->add_contents();
}

void
WriteSlot(RecordsWriter& aWriter,
          uint16_t aSlot,
          const std::map<Base::Endpoint, FlowRecord>& aFlows,
          bool aAuthoritative,
          Base::TimePoint aNow)
{
  const auto parts =
    std::max<uint32_t>(1, (aFlows.size() + kMaxRecordsPerMessage - 1) / kMaxRecordsPerMessage);
  auto flow = aFlows.begin();
  for (uint32_t part = 0; part < parts; ++part) {
    if (aWriter.mFreeRecords <= std::min<size_t>(aFlows.size(), kMaxRecordsPerMessage - 1)) {
      aWriter.mFreeRecords = 0;
    }
    SlotContent& content = AddContent(aWriter);
    content.set_slot(aSlot);
    content.set_part(part);
    content.set_parts(parts);
    content.set_authoritative(aAuthoritative);
    for (uint32_t count = 0; count < kMaxRecordsPerMessage && flow != aFlows.end();
         ++count, ++flow) {
      const auto age =
        std::chrono::duration_cast<std::chrono::milliseconds>(aNow - flow->second.mOpened);
      content.add_callers(Base::Pack(flow->first));
      content.add_upstreams(Base::Pack(flow->second.mUpstream));
      content.add_ages_ms(static_cast<uint32_t>(std::clamp<int64_t>(age.count(), 0, UINT32_MAX)));
      aWriter.mFreeRecords -= std::min<uint32_t>(aWriter.mFreeRecords, 1);
    }
  }
}

std::vector<Outgoing>
SendSlots(Shard& aShard,
          Base::ServiceGeneration aGeneration,
          const std::set<uint16_t>& aSlots,
          Base::InstanceId aTo,
          Base::TimePoint aNow)
{
  const FlowsBySlot flows = KnownFlows(aShard, aGeneration, aSlots);
  RecordsWriter writer = { aGeneration, aTo, {}, 0 };
  const auto service = aShard.mServices.find(aGeneration);
  const std::map<Base::Endpoint, FlowRecord> noFlows;
  for (const uint16_t slot : aSlots) {
    bool isAuthoritative = false;
    const bool hasRole =
      service != aShard.mServices.end() && service->second.mRoles.count(slot) > 0;
    if (hasRole) {
      SlotRole& known = service->second.mRoles[slot];
      if (known.mState == RoleState::Ready) {
        known.mState = RoleState::HandedOver;
        known.mHandedOverTo = aTo;
        known.mChangedAt = aNow;
      }
      isAuthoritative = known.mState == RoleState::HandedOver && known.mHandedOverTo == aTo;
    }
    const auto found = flows.find(slot);
    WriteSlot(writer, slot, found != flows.end() ? found->second : noFlows, isAuthoritative, aNow);
  }
  return std::move(writer.mMessages);
}

void
MergeRecord(Shard& aShard, const FlowRecord& aRecord, bool aAuthoritative, bool aIsReady)
{
  const FlowRecord* known = Find(aShard.mRecords, aRecord.mKey);
  // Flows that this instance placed as owner are kept. While it collects, authoritative records of
  // the previous owner take precedence, then the most recently opened record.
  const bool replaces =
    !aIsReady && known != nullptr && (aAuthoritative || known->mOpened < aRecord.mOpened);
  if (known == nullptr || replaces) {
    Insert(aShard.mRecords, aRecord);
  }
}

absl::Status
HandleContent(Shard& aShard,
              Base::ServiceGeneration aGeneration,
              Base::InstanceId aSender,
              const SlotContent& aContent,
              const Membership::View& aView,
              Base::TimePoint aNow)
{
  const int count = aContent.callers_size();
  if (aContent.upstreams_size() != count || aContent.ages_ms_size() != count ||
      aContent.slot() >= kSlots || aContent.part() >= aContent.parts()) {
    return absl::InvalidArgumentError("malformed slot records");
  }
  const auto slot = static_cast<uint16_t>(aContent.slot());
  ServiceShard& service = aShard.mServices[aGeneration];
  const auto found = service.mRoles.find(slot);
  if (slot % aShard.mCount != aShard.mIndex || found == service.mRoles.end()) {
    return absl::OkStatus();
  }
  SlotRole& role = found->second;
  for (int i = 0; i < count; ++i) {
    FlowRecord record;
    record.mKey = { aGeneration, UnpackEndpoint(aContent.callers(i)) };
    record.mUpstream = UnpackEndpoint(aContent.upstreams(i));
    record.mSlot = slot;
    record.mOpened = aNow - std::chrono::milliseconds(aContent.ages_ms(i));
    record.mLastUsed = aNow;
    MergeRecord(aShard, record, aContent.authoritative(), role.mState == RoleState::Ready);
  }
  const auto pending = role.mPendingPeers.find(aSender);
  if (role.mState != RoleState::Collecting || pending == role.mPendingPeers.end()) {
    return absl::OkStatus();
  }
  pending->second.mParts.insert(aContent.part());
  pending->second.mTotal = aContent.parts();
  if (!IsComplete(pending->second)) {
    return absl::OkStatus();
  }
  if (aContent.authoritative() || (role.mRequestedFromAllPeers && HasAllRecords(role))) {
    EndCollecting(role, aNow);
  } else if (!role.mRequestedFromAllPeers) {
    RequestFromAllPeers(role, aView, aNow);
  }
  return absl::OkStatus();
}

// Slots of one service by the member to which a message about them is sent.
using Requests = std::map<Base::InstanceId, std::set<uint16_t>>;

void
TickRole(const Settings& aSettings,
         uint16_t aSlot,
         SlotRole& aRole,
         const Membership::View& aView,
         Base::TimePoint aNow,
         Requests& aCollect,
         Requests& aPush)
{
  const Base::Duration elapsed = aNow - aRole.mChangedAt;
  if (aRole.mState == RoleState::Ready && aRole.mOwner != aView.mSelf &&
      elapsed >= aSettings.mPushDelay) {
    aPush[aRole.mOwner].insert(aSlot);
  }
  if (aRole.mState != RoleState::Collecting) {
    return;
  }
  const bool hasTimedOut = elapsed >= aSettings.mCollectTimeout;
  if (hasTimedOut && !aRole.mRequestedFromAllPeers) {
    RequestFromAllPeers(aRole, aView, aNow);
  } else if (hasTimedOut || HasAllRecords(aRole)) {
    EndCollecting(aRole, aNow);
    return;
  }
  if (aNow < aRole.mNextResend) {
    return;
  }
  aRole.mNextResend = aNow + aSettings.mResendInterval;
  for (const auto& [member, peer] : aRole.mPendingPeers) {
    if (!IsComplete(peer)) {
      aCollect[member].insert(aSlot);
    }
  }
}

} // namespace

void
StartCollecting(SlotRole& aRole,
                const Membership::Member* aPrevious,
                const Membership::View& aView,
                Base::TimePoint aNow)
{
  aRole.mState = RoleState::Collecting;
  aRole.mChangedAt = aNow;
  aRole.mNextResend = aNow;
  aRole.mRequestedFromAllPeers = false;
  aRole.mPendingPeers.clear();
  if (aPrevious == nullptr || aPrevious->mId == aView.mSelf) {
    RequestFromAllPeers(aRole, aView, aNow);
    return;
  }
  aRole.mPendingPeers.try_emplace(aPrevious->mId);
}

std::vector<Outgoing>
TickShard(Shard& aShard, const Membership::View& aView, Base::TimePoint aNow)
{
  std::vector<Outgoing> result;
  for (auto& [generation, service] : aShard.mServices) {
    Requests collect;
    Requests push;
    for (auto& [slot, role] : service.mRoles) {
      TickRole(service.mSettings, slot, role, aView, aNow, collect, push);
    }
    for (const auto& [member, slots] : collect) {
      Outgoing outgoing;
      outgoing.mTo = member;
      outgoing.mMessage.set_generation(generation.mValue);
      for (const uint16_t slot : slots) {
        outgoing.mMessage.mutable_collect()->add_slots(slot);
      }
      result.push_back(std::move(outgoing));
    }
    for (const auto& [member, slots] : push) {
      std::vector<Outgoing> records = SendSlots(aShard, generation, slots, member, aNow);
      std::move(records.begin(), records.end(), std::back_inserter(result));
    }
  }
  return result;
}

absl::StatusOr<std::vector<Outgoing>>
HandleShardMessage(Shard& aShard,
                   Base::InstanceId aSender,
                   const PlacementMessage& aMessage,
                   const Membership::View& aView,
                   Base::TimePoint aNow)
{
  const Base::ServiceGeneration generation(aMessage.generation());
  if (aMessage.has_collect()) {
    std::set<uint16_t> slots;
    for (const uint32_t slot : aMessage.collect().slots()) {
      if (slot < kSlots && slot % aShard.mCount == aShard.mIndex) {
        slots.insert(static_cast<uint16_t>(slot));
      }
    }
    if (slots.empty()) {
      return std::vector<Outgoing>();
    }
    return SendSlots(aShard, generation, slots, aSender, aNow);
  }
  if (aShard.mServices.count(generation) == 0) {
    return std::vector<Outgoing>();
  }
  for (const SlotContent& content : aMessage.records().contents()) {
    absl::Status status = HandleContent(aShard, generation, aSender, content, aView, aNow);
    if (!status.ok()) {
      return status;
    }
  }
  return std::vector<Outgoing>();
}

bool
HasSlotsToHandOver(const Shard& aShard, const Membership::View& aView)
{
  for (const auto& [generation, service] : aShard.mServices) {
    for (const auto& [slot, role] : service.mRoles) {
      if (role.mState == RoleState::Ready && role.mOwner != aView.mSelf) {
        return true;
      }
    }
  }
  return false;
}

} // namespace Placement

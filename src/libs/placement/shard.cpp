#include "placement/shard.h"

#include "base/hash.h"
#include "placement/fingerprint.h"
#include "placement/handover.h"

namespace Placement {

namespace {

bool
IsTracked(const ServiceShard& aService, uint16_t aSlot, Base::TimePoint aNow)
{
  const Slot& slot = aService.mTable->mSlots[aSlot];
  if (slot.mCurrent == kNoUpstream) {
    return false; // No flow has been placed in the slot yet.
  }
  return slot.mAmbiguous ||
         !TakesNewFlows(aService.mStatusByIndex[slot.mCurrent], aService.mSettings, aNow);
}

void
SetOwner(SlotRole& aRole, const Membership::Member& aOwner, Base::TimePoint aNow)
{
  aRole.mOwner = aOwner.mId;
  aRole.mOwnerIncarnation = aOwner.mIncarnation;
  aRole.mChangedAt = aNow;
}

void
StartRole(SlotRole& aRole,
          uint64_t aKey,
          const Membership::View& aView,
          bool aIsNewlyAmbiguous,
          Base::TimePoint aNow)
{
  if (aRole.mOwner != aView.mSelf) {
    return;
  }
  if (aIsNewlyAmbiguous) {
    aRole.mState = RoleState::Ready;
    return;
  }
  Membership::View others = aView;
  for (Membership::Member& member : others.mMembers) {
    if (member.mId == aView.mSelf) {
      member.mState = Membership::MemberState::Leaving;
    }
  }
  StartCollecting(aRole, Membership::RendezvousMember(others, aKey), aView, aNow);
}

void
ChangeOwner(SlotRole& aRole,
            const Membership::Member& aOwner,
            const Membership::View& aView,
            Base::TimePoint aNow)
{
  const Membership::Member* previous = Membership::FindMember(aView, aRole.mOwner);
  if (previous != nullptr && previous->mIncarnation != aRole.mOwnerIncarnation) {
    previous = nullptr; // It restarted and has lost its records.
  }
  const Base::InstanceId handedOverTo = aRole.mHandedOverTo;
  SetOwner(aRole, aOwner, aNow);
  const bool isSelf = aOwner.mId == aView.mSelf;
  switch (aRole.mState) {
    case RoleState::Remote:
      if (isSelf) {
        StartCollecting(aRole, previous, aView, aNow);
      }
      return;
    case RoleState::HandedOver:
      if (isSelf) {
        StartCollecting(aRole, Membership::FindMember(aView, handedOverTo), aView, aNow);
      }
      return;
    case RoleState::Collecting:
      if (!isSelf) {
        aRole.mState = RoleState::Remote;
        aRole.mPendingPeers.clear();
      }
      return;
    case RoleState::Ready:
      return; // Remains owner until the new owner collects, see TickShard.
  }
}

void
UpdateRole(ServiceShard& aService,
           uint16_t aSlot,
           const Membership::View& aView,
           bool aIsNewlyAmbiguous,
           Base::TimePoint aNow)
{
  const uint64_t key = OwnerKey(aService.mTable->mGeneration, aSlot);
  const Membership::Member* owner = Membership::RendezvousMember(aView, key);
  if (owner == nullptr) {
    return;
  }
  const auto [entry, isNew] = aService.mRoles.try_emplace(aSlot);
  SlotRole& role = entry->second;
  if (isNew) {
    SetOwner(role, *owner, aNow);
    StartRole(role, key, aView, aIsNewlyAmbiguous, aNow);
  } else if (role.mOwner != owner->mId || role.mOwnerIncarnation != owner->mIncarnation) {
    ChangeOwner(role, *owner, aView, aNow);
  }
  // A new member may collect the slot before this instance learns of it, hence the timeout.
  if (role.mState == RoleState::HandedOver &&
      Membership::FindMember(aView, role.mHandedOverTo) == nullptr &&
      aNow - role.mChangedAt >= aService.mSettings.mUnknownOwnerTimeout) {
    role.mState = RoleState::Remote;
    if (role.mOwner == aView.mSelf) {
      StartCollecting(role, nullptr, aView, aNow);
    }
  }
}

uint64_t
TrackingFingerprint(const ServiceShard& aService,
                    const Membership::View& aView,
                    Base::TimePoint aNow)
{
  const SlotTable& table = *aService.mTable;
  const TableVersion prepared = table.mPrepared ? table.mPrepared->mVersion : TableVersion();
  uint64_t value = Base::StableHash({ MembershipFingerprint(aView),
                                      table.mVersion.mEpoch,
                                      table.mVersion.mCounter,
                                      prepared.mEpoch,
                                      prepared.mCounter });
  for (const UpstreamStatus& status : aService.mStatusByIndex) {
    value = Base::StableHash({ value, TakesNewFlows(status, aService.mSettings, aNow) ? 1U : 0U });
  }
  return value;
}

void
SetStatusByIndex(ServiceShard& aService)
{
  aService.mStatusByIndex.clear();
  for (const Base::Endpoint& endpoint : aService.mTable->mUpstreams) {
    const UpstreamStatus* status = FindUpstream(aService.mUpstreams, endpoint);
    // The default status has no valid lease, so no packet is sent to an unknown upstream.
    aService.mStatusByIndex.push_back(status != nullptr ? *status : UpstreamStatus());
  }
}

} // namespace

uint64_t
OwnerKey(Base::ServiceGeneration aGeneration, uint16_t aSlot)
{
  return Base::StableHash({ aGeneration.mValue, aSlot });
}

void
UpdateService(Shard& aShard,
              std::shared_ptr<const SlotTable> aTable,
              const Upstreams& aUpstreams,
              const Settings& aSettings,
              const Membership::View& aView,
              bool aIsIncremental,
              Base::TimePoint aNow)
{
  const Base::ServiceGeneration generation = aTable->mGeneration;
  ServiceShard& service = aShard.mServices[generation];
  const bool hadTable = service.mTable != nullptr;
  service.mTable = std::move(aTable);
  service.mUpstreams = aUpstreams;
  service.mSettings = aSettings;
  SetStatusByIndex(service);
  const uint64_t state = TrackingFingerprint(service, aView, aNow);
  if (state == service.mTrackingFingerprint) {
    // Only the timeout for an unknown new owner in UpdateRole can expire, so a pass over all slots
    // is not needed.
    for (const auto& [slot, role] : service.mRoles) {
      if (role.mState == RoleState::HandedOver) {
        UpdateRole(service, slot, aView, false, aNow);
      }
    }
    return;
  }
  service.mTrackingFingerprint = state;
  std::set<uint16_t> ended;
  for (uint32_t slot = aShard.mIndex; slot < kSlots; slot += aShard.mCount) {
    const auto index = static_cast<uint16_t>(slot);
    if (IsTracked(service, index, aNow)) {
      UpdateRole(service, index, aView, aIsIncremental && hadTable, aNow);
    } else if (service.mRoles.erase(index) > 0) {
      ended.insert(index);
    }
  }
  if (ended.empty()) {
    return;
  }
  const auto hasEnded = [&](const FlowRecord& aRecord) {
    return aRecord.mKey.mGeneration == generation && ended.count(aRecord.mSlot) > 0;
  };
  EraseIf(aShard.mRecords, hasEnded);
  EraseIf(aShard.mCache, hasEnded);
}

void
RemoveService(Shard& aShard, Base::ServiceGeneration aGeneration)
{
  aShard.mServices.erase(aGeneration);
  const auto isOfService = [aGeneration](const FlowRecord& aRecord) {
    return aRecord.mKey.mGeneration == aGeneration;
  };
  EraseIf(aShard.mRecords, isOfService);
  EraseIf(aShard.mCache, isOfService);
}

void
CollectUsage(const Shard& aShard,
             Base::ServiceGeneration aGeneration,
             std::map<uint16_t, Base::TimePoint>& aUsed)
{
  const auto service = aShard.mServices.find(aGeneration);
  if (service == aShard.mServices.end()) {
    return;
  }
  for (const auto& [slot, role] : service->second.mRoles) {
    aUsed[slot] = role.mOlderUpstreamUsedAt;
  }
}

} // namespace Placement

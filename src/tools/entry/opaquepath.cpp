#include "opaquepath.h"

#include <glog/logging.h>

#include <algorithm>
#include <set>

namespace Entry {

namespace {

using lw::placement::PlacementMessage;

Placement::Settings
SettingsOf(const lw::config::Service& aDefinition)
{
  Placement::Settings settings;
  if (aDefinition.max_flow_idle_seconds() > 0) {
    settings.mFlowIdle = std::chrono::seconds(aDefinition.max_flow_idle_seconds());
  }
  settings.mHasOpeningMark = aDefinition.opening_mark() != lw::config::NONE;
  return settings;
}

} // namespace

OpaquePath::OpaquePath(const PacketPorts& aPorts,
                       const Base::Snapshot<Membership::View>& aView,
                       const Base::Snapshot<Config::ServiceIndex>& aServices,
                       Metrics::Registry& aMetrics)
  : mView(aView)
  , mServiceIndex(aServices)
  , mShards(aPorts, aView.Load(), aMetrics)
  , mMalformed(aMetrics.CounterFor("drops_total{reason=\"placement_malformed\"}"))
  , mUnknownService(aMetrics.CounterFor("drops_total{reason=\"placement_unknown_service\"}"))
{
}

void
OpaquePath::HandleCallerPacket(const Config::ServiceView& aService,
                               const Wire::ProxyAddresses& aAddresses,
                               absl::string_view aPayload)
{
  PendingPacket pending;
  pending.mAddresses = aAddresses;
  pending.mPacket.mFlow = { aService.mGeneration, aAddresses.mSource };
  pending.mPacket.mSlot =
    Placement::SlotOf(aService.mGeneration, aAddresses.mSource, aAddresses.mDestination);
  pending.mPacket.mIsOpening =
    aService.mDefinition.opening_mark() != lw::config::NONE && Placement::HasOpeningMark(aPayload);
  mShards.ProcessPacket(pending, aPayload);
}

void
OpaquePath::HandlePeerPayload(const PeerSender& aSender, absl::string_view aPayload)
{
  PlacementMessage message;
  if (!message.ParseFromArray(aPayload.data(), static_cast<int>(aPayload.size())) ||
      message.body_case() == PlacementMessage::BODY_NOT_SET) {
    mMalformed.Add();
    return;
  }
  if (message.has_packet()) {
    HandleForwarded(message);
  } else if (message.has_answer()) {
    HandleAnswer(message);
  } else if (Placement::IsControlMessage(message)) {
    HandleControl(aSender, message);
  } else {
    mShards.HandleMessage(aSender.mId, message);
  }
}

bool
OpaquePath::FindService(Base::ServiceGeneration aGeneration,
                        Base::Endpoint& aAddress,
                        bool& aHasOpeningMark)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto service = mServices.find(aGeneration);
  if (service == mServices.end()) {
    return false;
  }
  aAddress = service->second.mAddress;
  aHasOpeningMark = service->second.mControl.mSettings.mHasOpeningMark;
  return true;
}

void
OpaquePath::HandleForwarded(const PlacementMessage& aMessage)
{
  const lw::placement::ForwardedPacket& forwarded = aMessage.packet();
  const Base::ServiceGeneration generation(aMessage.generation());
  Base::Endpoint address;
  bool hasOpeningMark = false;
  // Packets of a service that was removed, or removed and created again, have an unknown
  // generation.
  if (!FindService(generation, address, hasOpeningMark)) {
    mUnknownService.Add();
    return;
  }
  PendingPacket pending;
  Placement::Packet& packet = pending.mPacket;
  packet.mFlow = { generation, Placement::UnpackEndpoint(forwarded.caller()) };
  packet.mSlot = Placement::SlotOf(generation, packet.mFlow.mCaller, address);
  packet.mIsOpening = hasOpeningMark && Placement::HasOpeningMark(forwarded.payload());
  packet.mHops = std::max<uint32_t>(1, forwarded.hops());
  if (forwarded.last_upstream() != 0) {
    packet.mLastUpstream = Placement::UnpackEndpoint(forwarded.last_upstream());
  }
  pending.mAddresses = { packet.mFlow.mCaller, address };
  pending.mIngressInstance = Base::InstanceId(forwarded.asker());
  mShards.ProcessPacket(pending, forwarded.payload());
}

void
OpaquePath::HandleAnswer(const PlacementMessage& aMessage)
{
  const Base::ServiceGeneration generation(aMessage.generation());
  const Base::Endpoint caller = Placement::UnpackEndpoint(aMessage.answer().caller());
  Base::Endpoint address;
  bool hasOpeningMark = false;
  if (FindService(generation, address, hasOpeningMark)) {
    mShards.CacheAnswer({ generation, caller },
                        Placement::SlotOf(generation, caller, address),
                        Placement::UnpackEndpoint(aMessage.answer().upstream()));
  }
}

void
OpaquePath::HandleControl(const PeerSender& aSender, const PlacementMessage& aMessage)
{
  const std::lock_guard<std::mutex> lock(mMutex);
  const auto service = mServices.find(Base::ServiceGeneration(aMessage.generation()));
  if (service == mServices.end()) {
    // The configuration with this service has not arrived yet. The publisher repeats the message.
    return;
  }
  const absl::StatusOr<Placement::TableEffects> effects = Placement::HandleControlMessage(
    service->second.mControl, aSender.mId, aMessage, Base::RuntimeClock::now());
  if (!effects.ok()) {
    mMalformed.Add();
    return;
  }
  Apply(service->second, *effects, mView.Load());
}

void
OpaquePath::Apply(Service& aService,
                  const Placement::TableEffects& aEffects,
                  const std::shared_ptr<const Membership::View>& aView)
{
  if (aEffects.mTableChanged) {
    const Placement::SlotTable& table = aService.mControl.mCopy.mTable;
    const bool isActivated =
      aService.mPublished == nullptr || aService.mPublished->mVersion != table.mVersion;
    LOG_IF(INFO, isActivated) << "[placement] Service generation " << table.mGeneration
                              << " uses table " << Placement::ToString(table.mVersion) << ".";
    aService.mPublished = std::make_shared<Placement::SlotTable>(table);
    mShards.Update(aService.mPublished, aService.mControl, aView, aEffects.mIsIncremental);
  }
  mShards.Send(*aView, aEffects.mSend);
}

void
OpaquePath::UpdateServices()
{
  const uint64_t revision = mServiceIndex.Revision();
  if (revision == mServicesRevision) {
    return;
  }
  mServicesRevision = revision;
  const std::shared_ptr<const Config::ServiceIndex> index = mServiceIndex.Load();
  std::set<Base::ServiceGeneration> present;
  for (const auto& [address, service] : index->mByAddress) {
    if (service->mDefinition.kind() == lw::config::REQUEST) {
      continue;
    }
    present.insert(service->mGeneration);
    const Placement::Settings settings = SettingsOf(service->mDefinition);
    const auto [entry, isNew] = mServices.try_emplace(service->mGeneration);
    if (isNew) {
      entry->second.mControl = Placement::MakeServiceControl(service->mGeneration, settings);
    }
    entry->second.mControl.mSettings = settings;
    entry->second.mAddress = address;
  }
  for (auto service = mServices.begin(); service != mServices.end();) {
    if (present.count(service->first) > 0) {
      ++service;
      continue;
    }
    mShards.Remove(service->first);
    service = mServices.erase(service);
  }
}

void
OpaquePath::Tick()
{
  const std::shared_ptr<const Membership::View> view = mView.Load();
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    UpdateServices();
    mShards.SetView(view);
    for (auto& entry : mServices) {
      Service& service = entry.second;
      const Placement::TableEffects effects = Placement::TickControl(
        service.mControl,
        *view,
        [&](std::map<uint16_t, Base::TimePoint>& aUsed) {
          mShards.CollectUsage(entry.first, aUsed);
        },
        Base::RuntimeClock::now());
      Apply(service, effects, view);
      if (service.mPublished) {
        mShards.Update(service.mPublished, service.mControl, view, true);
      }
    }
  }
  mShards.Tick(view);
}

} // namespace Entry

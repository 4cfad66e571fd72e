#pragma once

#include "membership/view.h"
#include "metrics/registry.h"
#include "packetports.h"
#include "placement/control.h"
#include "placement/decision.h"

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace Entry {

/// A packet of an opaque service on its way to a decision.
struct PendingPacket
{
  Placement::Packet mPacket;
  Wire::ProxyAddresses mAddresses;
  /// Instance that received it from the fabric, if another one forwarded it.
  Base::InstanceId mAsker;
};

/// The flows of opaque services in shards, each under its own lock. Decides and sends packets, and
/// exchanges records with peers. All functions may be called from any thread.
class FlowShards
{
public:
  FlowShards(const PacketPorts& aPorts,
             const std::shared_ptr<const Membership::View>& aView,
             Metrics::Registry& aMetrics);

  /// Sends, forwards, holds or drops a packet.
  void Place(const PendingPacket& aPending, absl::string_view aPayload);

  /// Stores an owner's answer.
  void CacheAnswer(const Placement::FlowKey& aFlow,
                   uint16_t aSlot,
                   const Base::Endpoint& aUpstream);

  /// Handles CollectRequest and SlotRecords.
  void HandleMessage(Base::InstanceId aSender, const lw::placement::PlacementMessage& aMessage);

  void SetView(const std::shared_ptr<const Membership::View>& aView);

  /// Sets the table of a service, see Placement::UpdateService.
  void Update(const std::shared_ptr<const Placement::SlotTable>& aTable,
              const Placement::ServiceControl& aControl,
              const std::shared_ptr<const Membership::View>& aView,
              bool aIsIncremental);

  /// Forgets a service.
  void Remove(Base::ServiceGeneration aGeneration);

  void CollectUsage(Base::ServiceGeneration aGeneration,
                    std::map<uint16_t, Base::TimePoint>& aUsed);

  /// Called every 50 ms.
  void Tick(const std::shared_ptr<const Membership::View>& aView);

  /// \return true if no other instance waits for the flow records of this one.
  bool IsHandedOver(const Membership::View& aView);

  /// Sends messages to peers.
  void Send(const Membership::View& aView, const std::vector<Placement::Outgoing>& aMessages);

private:
  static constexpr uint32_t kShards = 16;

  struct HeldPacket
  {
    PendingPacket mPending;
    std::string mPayload;
    Base::TimePoint mSince;
  };
  struct LockedShard
  {
    explicit LockedShard(uint32_t aIndex);

    std::mutex mMutex;
    Placement::Shard mState;
    std::shared_ptr<const Membership::View> mView;
    std::deque<HeldPacket> mHeld;
    size_t mHeldBytes = 0;
  };
  struct Counters
  {
    explicit Counters(Metrics::Registry& aMetrics);

    Metrics::Counter& mSent;
    Metrics::Counter& mForwarded;
    Metrics::Counter& mHeld;
    Metrics::Counter& mRecordsEvicted;
    Metrics::Counter& mCacheEvicted;
    Metrics::Counter& mMalformed;
    Metrics::Counter& mUnknownMember;
    Metrics::Counter& mHeldTooLong;
    Metrics::Counter& mHeldFull;
    std::map<Placement::DropReason, Metrics::Counter*> mDrops;
    Metrics::Gauge& mRecords;
    Metrics::Gauge& mCached;
    Metrics::Gauge& mTrackedSlots;
  };

  LockedShard& ShardOf(uint16_t aSlot) { return *mShards[aSlot % kShards]; }
  void Execute(const Placement::Decision& aDecision,
               const Membership::View& aView,
               const PendingPacket& aPending,
               absl::string_view aPayload);
  void Hold(LockedShard& aShard, const PendingPacket& aPending, absl::string_view aPayload);
  void RetryHeld(LockedShard& aShard);
  void SetGauges();

  const PacketPorts& mPorts;
  Counters mCounters;
  std::array<std::unique_ptr<LockedShard>, kShards> mShards;
};

} // namespace Entry

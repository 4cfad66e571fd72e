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

/// A packet of an opaque service that is to be sent, forwarded, held or dropped.
struct PendingPacket
{
  Placement::Packet mPacket;
  Wire::ProxyAddresses mAddresses;
  /// Instance that received the packet from the fabric. Only set for forwarded packets.
  Base::InstanceId mIngressInstance;
};

/// The flows of opaque services, divided into shards with a lock each. Selects the destination of
/// packets, sends them, and exchanges flow records with peers. Thread-safe.
class FlowShards
{
public:
  FlowShards(const PacketPorts& aPorts,
             const std::shared_ptr<const Membership::View>& aView,
             Metrics::Registry& aMetrics);

  /// Sends, forwards, holds or drops a packet.
  void ProcessPacket(const PendingPacket& aPending, absl::string_view aPayload);

  /// Stores the upstream of a flow that the owner of its slot has reported.
  void CacheAnswer(const Placement::FlowKey& aFlow,
                   uint16_t aSlot,
                   const Base::Endpoint& aUpstream);

  /// Handles CollectRequest and SlotRecords.
  void HandleMessage(Base::InstanceId aSender, const lw::placement::PlacementMessage& aMessage);

  void SetView(const std::shared_ptr<const Membership::View>& aView);

  /// Sets the slot table of a service, see Placement::UpdateService().
  void Update(const std::shared_ptr<const Placement::SlotTable>& aTable,
              const Placement::ServiceControl& aControl,
              const std::shared_ptr<const Membership::View>& aView,
              bool aIsIncremental);

  /// Removes a service and its flows.
  void Remove(Base::ServiceGeneration aGeneration);

  void CollectUsage(Base::ServiceGeneration aGeneration,
                    std::map<uint16_t, Base::TimePoint>& aUsed);

  /// Call this every 50 ms.
  void Tick(const std::shared_ptr<const Membership::View>& aView);

  /// \return true if no other instance still needs the flow records of this instance.
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

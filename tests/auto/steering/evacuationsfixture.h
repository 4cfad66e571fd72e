#pragma once

#include "fixture.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

/// An entry instance that learns of evacuated availability zones.
struct EvacuationsFixture : SteeringFixture
{
  static constexpr uint32_t kManySlots = 10000;

  /// Applies a list of evacuated zones from a control instance.
  void Evacuate(uint64_t aRevision, const std::vector<std::string>& aZones);
  /// Lets time pass in which the upstreams keep announcing themselves.
  void PassTime(Base::Duration aDuration);
  void AddLiveUpstream(uint64_t aId, const std::string& aZone);
  /// Opens flows and completes their handshakes until one is not forwarded.
  /// \return the number of forwarded flows, at most aLimit.
  uint32_t OpenUntilFull(uint32_t aLimit);
  /// \return the share of aCount new flows that go to the upstream.
  double ShareOf(uint64_t aUpstream, int aCount);
  /// Adds flows of a peer of the zone.
  void ReportPeerFlows(uint64_t aUpstream, uint32_t aFlows);
  /// Suspends an upstream as if it did not answer.
  void Suspend(uint64_t aUpstream);

  std::vector<std::pair<uint64_t, std::string>> mAnnounced;
  uint16_t mLastPort = 0;
};

#pragma once

#include "steering/steering.h"

#include <string>

/// An entry instance in availability zone "a". Declare() adds two routes to "desk", 10.0.0.1:80 and
/// the more urgent 10.0.0.1:81.
struct SteeringFixture
{
  static constexpr uint64_t kFirstStart = 10;
  static constexpr uint32_t kServiceAddress = 0x0a000001;
  static constexpr uint16_t kServicePort = 80;
  /// Another address of the same service, for urgent requests.
  static constexpr uint16_t kUrgentPort = 81;

  SteeringFixture();

  /// Reports an upstream to the instance. aId is also the upstream's address.
  void AddUpstream(uint64_t aId,
                   const std::string& aZone,
                   lw::fleet::UpstreamState aState = lw::fleet::READY,
                   uint64_t aStart = kFirstStart);
  /// Applies a configuration from a control instance that is connected to the leader.
  bool Declare(uint64_t aVersion, bool aWithRoute = true);
  Steering::Decision Send(uint16_t aCallerPort,
                          Steering::PacketKind aKind,
                          Directory::RouteTag aTag = Directory::RouteTag(),
                          bool aCarriesData = false);
  /// Sends a copy of the packet that opens a flow.
  /// \param aAge is the time since the caller sent the first copy.
  Steering::Decision SendOpening(uint16_t aCallerPort,
                                 Base::Duration aAge,
                                 uint16_t aServicePort = kServicePort);
  /// Opens a flow and completes the handshake with the chosen upstream.
  Directory::RouteTag OpenFlow(uint16_t aCallerPort);

  static Directory::RouteTag Tag(uint64_t aId);

  /// Slots of the upstreams that are added next. Many slots keep the limit on flows out of a test.
  uint32_t mSlots = 2;
  Steering::State mState;
  Steering::Settings mSettings;
  Base::TimePoint mNow{ std::chrono::seconds(1000) };
};

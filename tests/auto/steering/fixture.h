#pragma once

#include "steering/steering.h"

#include <string>

/// An entry instance in availability zone "a". Declare() adds one route, 10.0.0.1:80 to "desk".
struct SteeringFixture
{
  static constexpr uint64_t kFirstStart = 10;

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
  /// Opens a flow and completes the handshake with the chosen upstream.
  Directory::RouteTag OpenFlow(uint16_t aCallerPort);

  static Directory::RouteTag Tag(uint64_t aId);

  Steering::State mState;
  Steering::Settings mSettings;
  Base::TimePoint mNow{ std::chrono::seconds(1000) };
};

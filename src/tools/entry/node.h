#pragma once

#include "absl/status/status.h"
#include "announceservice.h"
#include "configfollower.h"
#include "datapath.h"
#include "entrysettings.h"
#include "membershipagent.h"
#include "metrics/registry.h"
#include "metricsserver.h"
#include "opaquepath.h"
#include "packetports.h"
#include "peertransport.h"
#include "requestpath.h"
#include "steering/evacuations.h"

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>

#include <thread>

namespace Entry {

/// An entry instance. Creates and connects its components and controls the shutdown.
class Node
{
public:
  /// \param aIncarnation is a random number, generated at each start.
  Node(const EntrySettings& aSettings, Base::Incarnation aIncarnation);
  ~Node();

  /// \return Unavailable if an address cannot be bound.
  absl::Status Start();

  /// Leaves the region gracefully: completes running requests and hands over flows, within
  /// mShutdownLimitMs.
  void Shutdown();

private:
  using Timer = boost::asio::basic_waitable_timer<Base::RuntimeClock>;

  PacketPorts MakePorts();
  void Tick();

  EntrySettings mSettings;
  Metrics::Registry mMetrics;
  boost::asio::io_context mContext{ 1 };
  PeerTransport mTransport;
  Base::Snapshot<Config::ServiceIndex> mServices;
  Base::Snapshot<Steering::Evacuations> mEvacuations;
  MembershipAgent mMembership;
  ConfigFollower mConfig;
  Datapath mDatapath;
  PacketPorts mPorts;
  OpaquePath mOpaque;
  RequestPath mRequests;
  AnnounceService mAnnounce;
  MetricsServer mMetricsServer;
  Timer mTimer;
  std::thread mThread;
};

} // namespace Entry

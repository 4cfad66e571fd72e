#pragma once

#include "base/endpoint.h"
#include "eventlog/log.h"
#include "fleet/poller.h"
#include "metrics/registry.h"
#include "steering/steering.h"

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <cstdint>
#include <vector>

namespace Fleet {

struct EntryNodeSettings
{
  /// IPv4 address of this instance; its peers use the same port for load reports.
  Base::Endpoint mLoadReportListen;
  Steering::Settings mSteering;
  PollerSettings mPoller;
  uint64_t mSeed = 0;
};

/// The parts of an entry instance that steer flows by tag: state of the packet path, polls of the
/// control instances, load reports to the peers of the availability zone. Runs on the thread of the
/// io_context, apart from the poller's.
class EntryNode
{
public:
  EntryNode(boost::asio::io_context& aContext,
            const EntryNodeSettings& aSettings,
            EventLog::Log& aEvents,
            Metrics::Registry& aMetrics);

  absl::Status Start(const std::vector<Base::InstanceId>& aSeeds);
  void Stop();
  void SetSeeds(const std::vector<Base::InstanceId>& aSeeds) { mPoller.SetSeeds(aSeeds); }

  /// Decides where a packet goes, counts it and logs what the decision rests on.
  Steering::Decision Steer(const Steering::Packet& aPacket);

  /// \return true once packets can be steered.
  bool IsReady() const { return Steering::IsReady(mState); }

private:
  void HandlePoll(const PollEvent& aEvent);
  void WaitForTick();
  void WaitForReportTime();
  void SendReports();
  void WaitForReport();
  void ReceiveReports();
  void LogDecision(const Steering::Packet& aPacket, const Steering::Decision& aDecision);

  boost::asio::io_context& mContext;
  const EntryNodeSettings mSettings;
  EventLog::Log& mEvents;
  Metrics::Registry& mMetrics;
  Metrics::Gauge& mVersionGauge;
  Metrics::Gauge& mUpstreamsGauge;
  Metrics::Histogram& mHandshakes;
  std::array<Metrics::Counter*, static_cast<size_t>(Steering::Reason::Malformed) + 1> mDecisions{};
  Steering::State mState;
  Poller mPoller;
  boost::asio::ip::udp::socket mReportSocket;
  boost::asio::basic_waitable_timer<Base::RuntimeClock> mTimer;
  boost::asio::basic_waitable_timer<Base::RuntimeClock> mReportTimer;
  std::vector<uint32_t> mPeers;
  uint64_t mIncarnation = 0;
  uint64_t mReportSequence = 0;
};

} // namespace Fleet

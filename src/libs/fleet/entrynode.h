#pragma once

#include "base/endpoint.h"
#include "eventlog/log.h"
#include "fleet/explainservice.h"
#include "fleet/poller.h"
#include "metrics/registry.h"
#include "steering/steering.h"

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace Fleet {

struct EntryNodeSettings
{
  /// IPv4 address and port of this instance for load reports. Its peers use the same port.
  Base::Endpoint mLoadReportListen;
  Steering::Settings mSteering;
  PollerSettings mPoller;
  uint64_t mSeed = 0;
  /// Ejects upstreams that do not answer requests.
  bool mOutlierEjection = false;
};

/// Steers flows at an entry instance. Combines the state of the packet path, the poller of the
/// control instances and the exchange of load reports with the peers of the availability zone. Runs
/// on the thread of the io_context; only the poller has its own thread.
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

  /// Sets the function that forwards or resets a packet that Steer decided to hold. It is called on
  /// the thread of the io_context.
  void SetReleaseHandler(std::function<void(const Steering::ReleasedPacket&)> aHandler);

  /// Decides what to do with a packet, and updates the metrics. Logs the decision and the values it
  /// was based on, except for packets that are just forwarded by their tag.
  Steering::Decision Steer(const Steering::Packet& aPacket);

  /// Explains where a flow would go now. Changes no state of the packet path, no metric and no log.
  /// \return JSON, or an error as ServeExplanation.
  absl::StatusOr<std::string> Explain(absl::string_view aQuery);

  /// \return true if packets can be steered.
  bool IsReady() const { return Steering::IsReady(mState); }

private:
  void HandlePoll(const PollEvent& aEvent);
  void WaitForTick();
  void WaitForReportTime();
  void SendReports();
  void WaitForReport();
  void ReceiveReports();
  void WaitForRelease();
  void ReleaseOpenings();
  /// Logs the availability zones whose evacuation has begun or ended.
  void PublishEvacuations(const Steering::Evacuations& aPrevious, const std::string& aControl);
  /// Ejects and restores upstreams, and publishes the changes.
  void UpdateOutliers(Base::TimePoint aNow);
  /// Decides early packets again.
  void ReleaseEarlyPackets();
  void ExpireEarlyPackets();
  /// Counts, logs and executes the decision on a packet that was held.
  void HandleReleased(const Steering::ReleasedPacket& aReleased);
  void LogFirstForward(const Steering::Decision& aDecision);
  void CountDecision(const Steering::Decision& aDecision);
  void LogDecision(const Steering::FlowKey& aFlow,
                   Directory::RouteTag aTag,
                   const Steering::Decision& aDecision);

  boost::asio::io_context& mContext;
  const EntryNodeSettings mSettings;
  EventLog::Log& mEvents;
  Metrics::Registry& mMetrics;
  Metrics::Gauge& mVersionGauge;
  Metrics::Gauge& mUpstreamsGauge;
  Metrics::Counter& mColdLimitedCounter;
  Metrics::Gauge& mEvacuatedGauge;
  Metrics::Counter& mDivertedCounter;
  Metrics::Gauge& mEjectedGauge;
  Metrics::Counter& mEjectionsCounter;
  Metrics::Histogram& mHandshakeHistogram;
  Metrics::Counter& mEarlyHeldCounter;
  Metrics::Counter& mEarlyReleasedCounter;
  Metrics::Counter& mEarlyExpiredCounter;
  std::array<Metrics::Counter*, static_cast<size_t>(Steering::Reason::Malformed) + 1>
    mDecisionCounters{};
  Steering::State mState;
  ExplanationLimit mExplanationLimit;
  Poller mPoller;
  boost::asio::ip::udp::socket mReportSocket;
  boost::asio::basic_waitable_timer<Base::RuntimeClock> mTimer;
  boost::asio::basic_waitable_timer<Base::RuntimeClock> mReportTimer;
  boost::asio::basic_waitable_timer<Base::RuntimeClock> mReleaseTimer;
  std::function<void(const Steering::ReleasedPacket&)> mReleaseHandler;
  bool mReleaseScheduled = false;
  /// Shortly before the event "started". The time in first_forward counts from here.
  const Base::TimePoint mStartedAt = Base::RuntimeClock::now();
  bool mHasForwarded = false;
  std::vector<uint32_t> mPeers;
  uint64_t mPeersHash = 0;
  uint64_t mIncarnation = 0;
  uint64_t mReportSequence = 0;
};

} // namespace Fleet

#include "fleet/entrynode.h"

#include "absl/strings/str_cat.h"
#include "fleet/entryevents.h"

#include <boost/asio/post.hpp>

#include <chrono>
#include <utility>

namespace Fleet {

namespace {

namespace asio = boost::asio;
using asio::ip::udp;

constexpr std::chrono::milliseconds kTickInterval{ 100 };
/// Short against the time that a request takes, so that slots don't idle while packets are held.
constexpr std::chrono::milliseconds kReleaseInterval{ 10 };
/// Limits the load reports that are handled at once, so that packets are not delayed.
constexpr int kMaxReportsPerWakeup = 32;
constexpr size_t kMaxReportBytes = 16384;

int64_t
Milliseconds(Base::Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count();
}

} // namespace

EntryNode::EntryNode(asio::io_context& aContext,
                     const EntryNodeSettings& aSettings,
                     EventLog::Log& aEvents,
                     Metrics::Registry& aMetrics)
  : mContext(aContext)
  , mSettings(aSettings)
  , mEvents(aEvents)
  , mMetrics(aMetrics)
  , mVersionGauge(aMetrics.GaugeFor("config_version_in_force"))
  , mUpstreamsGauge(aMetrics.GaugeFor("upstreams_known"))
  , mColdLimitedCounter(aMetrics.CounterFor("cold_start_limited_total"))
  , mEvacuatedGauge(aMetrics.GaugeFor("zones_evacuated"))
  , mDivertedCounter(aMetrics.CounterFor("openings_diverted_total"))
  , mEjectedGauge(aMetrics.GaugeFor("upstreams_ejected"))
  , mEjectionsCounter(aMetrics.CounterFor("ejections_total"))
  , mHandshakeHistogram(aMetrics.HistogramFor("flow_open_ms"))
  , mEarlyHeldCounter(aMetrics.CounterFor("early_packets_held_total"))
  , mEarlyReleasedCounter(aMetrics.CounterFor("early_packets_released_total"))
  , mEarlyExpiredCounter(aMetrics.CounterFor("early_packets_expired_total"))
  , mPoller(aSettings.mPoller,
            [this](const PollEvent& aEvent) {
              asio::post(mContext, [this, aEvent] { HandlePoll(aEvent); });
            })
  , mReportSocket(aContext)
  , mTimer(aContext)
  , mReportTimer(aContext)
  , mReleaseTimer(aContext)
{
  mState.mRandom.mState = aSettings.mSeed;
  mState.mPins.mSelf = aSettings.mLoadReportListen.mAddress;
  mIncarnation = Base::NextRandom(mState.mRandom);
  mState.mInstance = mSettings.mLoadReportListen.mAddress;
  mState.mOutliers.mEnabled = mSettings.mOutlierEjection;
  for (size_t i = 0; i < mDecisionCounters.size(); ++i) {
    const char* reason = Steering::ToString(static_cast<Steering::Reason>(i));
    mDecisionCounters[i] =
      &mMetrics.CounterFor(absl::StrCat("packets_total{reason=\"", reason, "\"}"));
  }
}

absl::Status
EntryNode::Start(const std::vector<Base::InstanceId>& aSeeds)
{
  const Base::Endpoint& listen = mSettings.mLoadReportListen;
  boost::system::error_code error;
  mReportSocket.open(udp::v4(), error);
  if (!error) {
    mReportSocket.bind({ asio::ip::address_v4(listen.mAddress), listen.mPort }, error);
  }
  if (!error) {
    mReportSocket.non_blocking(true, error);
  }
  if (error) {
    return absl::UnavailableError(
      absl::StrCat("cannot listen on ", Base::ToString(listen), ": ", error.message()));
  }
  mPoller.SetSeeds(aSeeds);
  mPoller.Start();
  WaitForReport();
  WaitForTick();
  WaitForReportTime();
  return absl::OkStatus();
}

void
EntryNode::Stop()
{
  mPoller.Stop();
  mTimer.cancel();
  mReportTimer.cancel();
  mReleaseTimer.cancel();
  boost::system::error_code ignored; // An error has no effect, because the process is ending.
  mReportSocket.close(ignored);
}

Steering::Decision
EntryNode::Steer(const Steering::Packet& aPacket)
{
  const Base::TimePoint now = Base::RuntimeClock::now();
  const Steering::Decision decision = Steering::Steer(mState, mSettings.mSteering, aPacket, now);
  CountDecision(decision);
  if (decision.mReason != Steering::Reason::Tagged) {
    LogDecision(aPacket.mFlow, aPacket.mTag, decision);
  }
  if (Steering::IsHeldEarly(decision)) {
    mEarlyHeldCounter.Add();
  } else if (decision.mAction == Steering::Action::Hold) {
    WaitForRelease();
  }
  LogFirstForward(decision);
  return decision;
}

absl::StatusOr<std::string>
EntryNode::Explain(absl::string_view aQuery)
{
  return ServeExplanation(
    mState, mSettings.mSteering, mExplanationLimit, aQuery, Base::RuntimeClock::now());
}

void
EntryNode::LogFirstForward(const Steering::Decision& aDecision)
{
  if (aDecision.mAction != Steering::Action::Forward || std::exchange(mHasForwarded, true)) {
    return;
  }
  const Base::TimePoint now = Base::RuntimeClock::now();
  mEvents.Add(EventLog::Line("first_forward").Add("ms", Milliseconds(now - mStartedAt)), now);
}

void
EntryNode::CountDecision(const Steering::Decision& aDecision)
{
  mDecisionCounters[static_cast<size_t>(aDecision.mReason)]->Add();
  if (aDecision.mColdLimited > 0) {
    mColdLimitedCounter.Add();
  }
  // A held packet is counted when it is released or refused.
  if (aDecision.mIsDiverted && aDecision.mAction != Steering::Action::Hold) {
    mDivertedCounter.Add();
  }
  if (aDecision.mHandshake.has_value()) {
    mHandshakeHistogram.Observe(*aDecision.mHandshake);
  }
}

void
EntryNode::SetReleaseHandler(std::function<void(const Steering::ReleasedPacket&)> aHandler)
{
  mReleaseHandler = std::move(aHandler);
}

void
EntryNode::WaitForRelease()
{
  if (std::exchange(mReleaseScheduled, true)) {
    return;
  }
  mReleaseTimer.expires_after(kReleaseInterval);
  mReleaseTimer.async_wait([this](boost::system::error_code aError) {
    mReleaseScheduled = false;
    if (!aError) {
      ReleaseOpenings();
    }
  });
}

void
EntryNode::ReleaseOpenings()
{
  const Base::TimePoint now = Base::RuntimeClock::now();
  for (const Steering::ReleasedPacket& released :
       Steering::ReleaseOpenings(mState, mSettings.mSteering, now)) {
    HandleReleased(released);
  }
  if (Steering::HasHeldOpenings(mState)) {
    WaitForRelease();
  }
}

void
EntryNode::ReleaseEarlyPackets()
{
  ExpireEarlyPackets();
  const Base::TimePoint now = Base::RuntimeClock::now();
  for (const Steering::ReleasedPacket& released :
       Steering::ReleaseEarlyPackets(mState, mSettings.mSteering, now)) {
    mEarlyReleasedCounter.Add();
    HandleReleased(released);
  }
  if (Steering::HasHeldOpenings(mState)) {
    WaitForRelease();
  }
}

void
EntryNode::ExpireEarlyPackets()
{
  for (const Steering::ReleasedPacket& expired :
       Steering::ExpireEarlyPackets(mState, Base::RuntimeClock::now())) {
    // The reason was counted when the packet was held.
    mEarlyExpiredCounter.Add();
    LogDecision(expired.mFlow, expired.mTag, expired.mDecision);
  }
}

void
EntryNode::HandleReleased(const Steering::ReleasedPacket& aReleased)
{
  CountDecision(aReleased.mDecision);
  if (aReleased.mDecision.mReason != Steering::Reason::Tagged) {
    LogDecision(aReleased.mFlow, aReleased.mTag, aReleased.mDecision);
  }
  LogFirstForward(aReleased.mDecision);
  mReleaseHandler(aReleased);
}

void
EntryNode::LogDecision(const Steering::FlowKey& aFlow,
                       Directory::RouteTag aTag,
                       const Steering::Decision& aDecision)
{
  const Base::TimePoint now = Base::RuntimeClock::now();
  mEvents.Add(DecisionLine(mState, aFlow, aTag, aDecision, now), now);
}

void
EntryNode::HandlePoll(const PollEvent& aEvent)
{
  const Base::TimePoint now = Base::RuntimeClock::now();
  const std::string control = Base::ToString(Base::Endpoint{ aEvent.mControl.mValue, 0 });
  if (!aEvent.mReply.has_value()) {
    mEvents.Add(EventLog::Line("control_lost").Add("control", control), now);
    return;
  }
  if (aEvent.mRegained) {
    mEvents.Add(EventLog::Line("control_regained").Add("control", control), now);
  }
  const Steering::Evacuations evacuations = mState.mEvacuations;
  const bool routesChanged = Steering::ApplyPollReply(mState, aEvent.mControl, *aEvent.mReply, now);
  if (routesChanged) {
    mPoller.SetDeclaredVersion(mState.mRoutes.mVersion);
    mVersionGauge.Set(static_cast<int64_t>(mState.mRoutes.mVersion));
    mEvents.Add(EventLog::Line("config_in_force")
                  .Add("version", static_cast<int64_t>(mState.mRoutes.mVersion))
                  .Add("routes", static_cast<int64_t>(mState.mRoutes.mRoutes.size()))
                  .Add("control", control),
                now);
  }
  if (mState.mEvacuations.mRevision != evacuations.mRevision) {
    PublishEvacuations(evacuations, control);
  }
  for (const lw::fleet::Upstream& upstream : aEvent.mReply->upstreams()) {
    mEvents.Add(UpstreamLine(upstream, control), now);
  }
  for (const lw::fleet::Presence& presence : aEvent.mReply->presences()) {
    mEvents.Add(PresenceLine(presence, control), now);
  }
  if (aEvent.mReply->peers_size() > 0) {
    mPeers.assign(aEvent.mReply->peers().begin(), aEvent.mReply->peers().end());
    mPeersHash = aEvent.mReply->peers_hash();
    mState.mInstances = mPeers.size();
  }
  // Without a list, the reply confirms the one with its hash. Another control instance may have
  // sent a different list since the poll.
  if (aEvent.mReply->connected() && aEvent.mReply->peers_hash() == mPeersHash) {
    mState.mColdStarts.mListed = mPeers;
  }
  mUpstreamsGauge.Set(static_cast<int64_t>(mState.mDirectory.mByTag.size()));
  const bool evacuationsChanged = mState.mEvacuations.mRevision != evacuations.mRevision;
  if (routesChanged || evacuationsChanged || aEvent.mReply->upstreams_size() > 0) {
    ReleaseEarlyPackets();
  }
}

void
EntryNode::PublishEvacuations(const Steering::Evacuations& aPrevious, const std::string& aControl)
{
  const Steering::Evacuations& current = mState.mEvacuations;
  mPoller.SetEvacuationRevision(current.mRevision);
  mEvacuatedGauge.Set(static_cast<int64_t>(current.mZones.size()));
  const auto logAdded = [&](const char* aEvent,
                            const Steering::Evacuations& aBefore,
                            const Steering::Evacuations& aAfter) {
    for (const std::string& zone : aAfter.mZones) {
      if (!Steering::IsEvacuated(aBefore, zone)) {
        mEvents.Add(EventLog::Line(aEvent)
                      .Add("availability_zone", zone)
                      .Add("revision", static_cast<int64_t>(current.mRevision))
                      .Add("control", aControl),
                    Base::RuntimeClock::now());
      }
    }
  };
  logAdded("zone_evacuated", aPrevious, current);
  logAdded("zone_readmitted", current, aPrevious);
}

void
EntryNode::WaitForTick()
{
  mTimer.expires_after(kTickInterval);
  mTimer.async_wait([this](boost::system::error_code aError) {
    if (aError) {
      return;
    }
    const Base::TimePoint now = Base::RuntimeClock::now();
    Steering::Expire(mState, now);
    UpdateOutliers(now);
    ExpireEarlyPackets();
    Steering::UpdateColdStarts(mState, mSettings.mSteering, now);
    mEvents.Flush(now);
    WaitForTick();
  });
}

void
EntryNode::WaitForReportTime()
{
  mReportTimer.expires_after(Steering::ReportInterval(mPeers.size()));
  mReportTimer.async_wait([this](boost::system::error_code aError) {
    if (!aError) {
      SendReports();
      WaitForReportTime();
    }
  });
}

void
EntryNode::SendReports()
{
  const Base::Duration interval = Steering::ReportInterval(mPeers.size());
  lw::fleet::LoadReport report = Steering::MakePeerReport(mState, Base::RuntimeClock::now());
  report.set_interval_ms(static_cast<uint32_t>(Milliseconds(interval)));
  report.set_instance(mSettings.mLoadReportListen.mAddress);
  report.set_incarnation(mIncarnation);
  report.set_sequence(++mReportSequence);
  const std::string bytes = report.SerializeAsString();
  for (const uint32_t peer : mPeers) {
    if (peer != mSettings.mLoadReportListen.mAddress) {
      boost::system::error_code ignored; // The next report replaces a lost one.
      mReportSocket.send_to(asio::buffer(bytes),
                            { asio::ip::address_v4(peer), mSettings.mLoadReportListen.mPort },
                            0,
                            ignored);
    }
  }
}

void
EntryNode::WaitForReport()
{
  mReportSocket.async_wait(udp::socket::wait_read, [this](boost::system::error_code aError) {
    if (!aError) {
      ReceiveReports();
      WaitForReport();
    }
  });
}

void
EntryNode::ReceiveReports()
{
  std::array<char, kMaxReportBytes> bytes{};
  for (int i = 0; i < kMaxReportsPerWakeup; ++i) {
    udp::endpoint sender;
    boost::system::error_code error;
    const size_t size = mReportSocket.receive_from(asio::buffer(bytes), sender, 0, error);
    if (error) {
      return;
    }
    lw::fleet::LoadReport report;
    const bool valid = report.ParseFromArray(bytes.data(), static_cast<int>(size)) &&
                       report.instance() == sender.address().to_v4().to_uint();
    if (valid) {
      Steering::ApplyPeerReport(mState, report, Base::RuntimeClock::now());
    } else {
      mMetrics.CounterFor("load_reports_malformed_total").Add();
    }
  }
}

} // namespace Fleet

#include "node.h"

#include <glog/logging.h>

namespace Entry {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTickInterval{ 50 };
constexpr milliseconds kDrainPollInterval{ 20 };
/// Time for the leave to reach all peers before this instance stops forwarding packets.
constexpr milliseconds kLeaveNotice{ 1000 };

} // namespace

Node::Node(const EntrySettings& aSettings, Base::Incarnation aIncarnation)
  : mSettings(aSettings)
  , mTransport(mContext, { aSettings.mInstance, aIncarnation, aSettings.mPeerListen }, mMetrics)
  , mServices(std::make_shared<Config::ServiceIndex>())
  , mEvacuations(std::make_shared<Steering::Evacuations>())
  , mMembership(mContext, mSettings, aIncarnation, mTransport, mServices, mEvacuations, mMetrics)
  , mConfig(mSettings,
            aIncarnation.mValue,
            mTransport,
            mMembership.View(),
            mServices,
            mEvacuations,
            mMetrics)
  , mDatapath(mSettings, mServices, mMembership.View(), mMetrics)
  , mPorts(MakePorts())
  , mOpaque(mPorts, mMembership.View(), mServices, mMetrics)
  , mRequests(mSettings, aIncarnation, mPorts, mMembership.View(), mServices, mMetrics)
  , mAnnounce(mMembership, mServices, mMetrics)
  , mMetricsServer(mContext, mSettings.mMetricsListen, mMetrics)
  , mTimer(mContext)
{
}

Node::~Node()
{
  mContext.stop();
  if (mThread.joinable()) {
    mThread.join();
  }
}

PacketPorts
Node::MakePorts()
{
  PacketPorts ports;
  ports.mToUpstream = [this](const Base::Endpoint& aUpstream,
                             const Wire::ProxyAddresses& aAddresses,
                             absl::string_view aPayload) {
    mDatapath.SendToUpstream(aUpstream, aAddresses, aPayload);
  };
  ports.mToCaller = [this](const Wire::ProxyAddresses& aAddresses, absl::string_view aPayload) {
    mDatapath.SendToCaller(aAddresses, aPayload);
  };
  ports.mToPeer =
    [this](const Base::Endpoint& aPeer, lw::peer::Channel aChannel, absl::string_view aPayload) {
      mTransport.Send(aPeer, aChannel, aPayload);
    };
  return ports;
}

absl::Status
Node::Start()
{
  mTransport.SetHandler(lw::peer::PLACEMENT,
                        [this](const PeerSender& aSender, absl::string_view aPayload) {
                          mOpaque.HandlePeerPayload(aSender, aPayload);
                        });
  mTransport.SetHandler(lw::peer::REQUESTS,
                        [this](const PeerSender& aSender, absl::string_view aPayload) {
                          mRequests.HandlePeerPayload(aSender, aPayload);
                        });
  const absl::Status listening = mAnnounce.Start(mSettings.mAnnounceListen);
  if (!listening.ok()) {
    return listening;
  }
  mConfig.Start();
  mMetricsServer.Start();
  mTransport.Start();
  mMembership.Start();
  mDatapath.Start(mOpaque, mRequests);
  Tick();
  mThread = std::thread([this] { mContext.run(); });
  LOG(INFO) << "[entry] Instance " << mSettings.mInstance << " started.";
  return absl::OkStatus();
}

void
Node::Tick()
{
  mConfig.Tick();
  mOpaque.Tick();
  mRequests.Tick();
  mTimer.expires_after(kTickInterval);
  mTimer.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      Tick();
    }
  });
}

void
Node::Shutdown()
{
  LOG(INFO) << "[entry] Instance " << mSettings.mInstance << " is shutting down.";
  const Base::TimePoint start = Base::RuntimeClock::now();
  const Base::TimePoint limit = start + milliseconds(mSettings.mShutdownLimitMs);
  mAnnounce.Stop();
  mMembership.Leave();
  mRequests.BeginShutdown();
  while (
    Base::RuntimeClock::now() < start + kLeaveNotice ||
    (!(mRequests.IsDrained() && mOpaque.IsHandedOver()) && Base::RuntimeClock::now() < limit)) {
    std::this_thread::sleep_for(kDrainPollInterval);
  }
  mMembership.FinishLeave();
  mDatapath.Stop();
  mConfig.Stop();
  LOG(INFO) << "[entry] Instance " << mSettings.mInstance << " stopped.";
}

} // namespace Entry

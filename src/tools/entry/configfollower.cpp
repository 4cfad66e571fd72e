#include "configfollower.h"

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "distribution/statefile.h"

#include <glog/logging.h>
#include <zmq.hpp>

namespace Entry {

namespace {

constexpr int kReplyTimeoutMs = 1000;

} // namespace

ConfigFollower::ConfigFollower(const EntrySettings& aSettings,
                               uint64_t aSeed,
                               PeerTransport& aTransport,
                               const Base::Snapshot<Membership::View>& aView,
                               Base::Snapshot<Config::ServiceIndex>& aServices,
                               Base::Snapshot<Steering::Evacuations>& aEvacuations,
                               Metrics::Registry& aMetrics)
  : mSettings(aSettings)
  , mTransport(aTransport)
  , mView(aView)
  , mServices(aServices)
  , mEvacuations(aEvacuations)
  , mVersionGauge(aMetrics.GaugeFor("config_version_in_force"))
  , mEvacuatedGauge(aMetrics.GaugeFor("zones_evacuated"))
  , mRefused(aMetrics.CounterFor("config_revisions_refused_total"))
  , mRandom{ aSeed }
{
  mTransport.SetHandler(lw::peer::CONFIGURATION,
                        [this](const PeerSender& aSender, absl::string_view aPayload) {
                          HandlePeer(aSender, aPayload);
                        });
}

ConfigFollower::~ConfigFollower()
{
  Stop();
}

void
ConfigFollower::Start()
{
  LoadFromDisk();
  mThread = std::thread([this] { RunControlPulls(); });
}

void
ConfigFollower::Stop()
{
  {
    const std::lock_guard<std::mutex> lock(mMutex);
    mStopping = true;
  }
  mWakeUp.notify_all();
  if (mThread.joinable()) {
    mThread.join();
  }
}

void
ConfigFollower::LoadFromDisk()
{
  if (mSettings.mDataDirectory.empty()) {
    LOG(INFO) << "[config] No data directory is set. Loading the configuration from control "
                 "instances or peers.";
    return;
  }
  const absl::StatusOr<lw::config::State> state =
    Distribution::ReadStateFile(mSettings.mDataDirectory);
  if (!state.ok()) {
    // The control instances are authoritative, so a damaged copy is replaced instead of repaired.
    LOG(WARNING) << "[config] Cannot load the configuration from disk: " << state.status().message()
                 << ".";
    return;
  }
  const std::lock_guard<std::mutex> lock(mMutex);
  mFollower.mState = *state;
  Publish();
  LOG(INFO) << "[config] Loaded version " << state->version() << " from disk.";
}

void
ConfigFollower::Tick()
{
  const std::shared_ptr<const Membership::View> view = mView.Load();
  const std::lock_guard<std::mutex> lock(mMutex);
  ApplyEffects(
    Distribution::Tick(mFollower, mFollowerSettings, *view, mRandom, Base::RuntimeClock::now()));
}

void
ConfigFollower::HandlePeer(const PeerSender& aSender, absl::string_view aPayload)
{
  lw::distribution::Message message;
  if (!message.ParseFromArray(aPayload.data(), static_cast<int>(aPayload.size()))) {
    return;
  }
  const std::shared_ptr<const Membership::View> view = mView.Load();
  const std::lock_guard<std::mutex> lock(mMutex);
  ApplyEffects(Distribution::OnPeerMessage(mFollower,
                                           mFollowerSettings,
                                           *view,
                                           aSender.mEndpoint,
                                           message,
                                           mRandom,
                                           Base::RuntimeClock::now()));
}

void
ConfigFollower::ApplyEffects(const Distribution::Effects& aEffects)
{
  if (aEffects.mStateChanged) {
    Publish();
    LOG(INFO) << "[config] Version " << mFollower.mState.version() << " is in force.";
  }
  if (!aEffects.mRefused.ok()) {
    mRefused.Add();
    LOG(WARNING) << "[config] Revision refused: " << aEffects.mRefused.message() << ".";
  }
  for (const auto& [peer, message] : aEffects.mToPeers) {
    mTransport.Send(peer, lw::peer::CONFIGURATION, message.SerializeAsString());
  }
  if (aEffects.mPullFromControl) {
    mIsPullRequested = true;
    mWakeUp.notify_all();
  }
  if (aEffects.mStateChanged && !mSettings.mDataDirectory.empty()) {
    const absl::Status written =
      Distribution::WriteStateFile(mSettings.mDataDirectory, mFollower.mState);
    LOG_IF(ERROR, !written.ok()) << "[config] " << written.message() << ".";
  }
}

void
ConfigFollower::Publish()
{
  mServices.Publish(Config::BuildServiceIndex(mFollower.mState));
  mVersionGauge.Set(static_cast<int64_t>(mFollower.mState.version()));
  PublishEvacuations();
}

void
ConfigFollower::PublishEvacuations()
{
  auto evacuations = std::make_shared<Steering::Evacuations>(*mEvacuations.Load());
  if (Steering::Update(*evacuations, mFollower.mState.evacuations(), Base::RuntimeClock::now())) {
    LOG(INFO) << "[config] Evacuated availability zones: "
              << (evacuations->mZones.empty() ? "none" : absl::StrJoin(evacuations->mZones, ", "))
              << " (revision " << evacuations->mRevision << ").";
    mEvacuatedGauge.Set(static_cast<int64_t>(evacuations->mZones.size()));
    mEvacuations.Publish(std::move(evacuations));
  }
}

void
ConfigFollower::RunControlPulls()
{
  zmq::context_t context;
  size_t next = mSettings.mInstance.mValue % mSettings.mControlFeeds.size();
  std::unique_lock<std::mutex> lock(mMutex);
  while (!mStopping) {
    mWakeUp.wait(lock, [this] { return mStopping || mIsPullRequested; });
    if (mStopping) {
      return;
    }
    mIsPullRequested = false;
    lock.unlock();
    if (!PullFrom(&context, mSettings.mControlFeeds[next])) {
      next = (next + 1) % mSettings.mControlFeeds.size();
    }
    lock.lock();
  }
}

bool
ConfigFollower::PullFrom(void* aContext, const Base::Endpoint& aFeed)
{
  lw::feed::PullRequest request;
  {
    const std::shared_ptr<const Membership::View> view = mView.Load();
    const std::lock_guard<std::mutex> lock(mMutex);
    request = Distribution::MakeControlPull(mFollower, mFollowerSettings, *view);
  }
  zmq::socket_t socket(*static_cast<zmq::context_t*>(aContext), zmq::socket_type::req);
  socket.set(zmq::sockopt::linger, 0);
  socket.set(zmq::sockopt::rcvtimeo, kReplyTimeoutMs);
  socket.connect(absl::StrCat("tcp://", Base::ToString(aFeed)));
  socket.send(zmq::buffer(request.SerializeAsString()), zmq::send_flags::none);
  zmq::message_t message;
  if (!socket.recv(message)) {
    return false;
  }
  lw::feed::PullReply reply;
  if (!reply.ParseFromArray(message.data(), static_cast<int>(message.size()))) {
    LOG(WARNING) << "[config] Malformed reply from control instance " << Base::ToString(aFeed)
                 << ".";
    return false;
  }
  const std::shared_ptr<const Membership::View> view = mView.Load();
  const std::lock_guard<std::mutex> lock(mMutex);
  ApplyEffects(Distribution::OnControlReply(
    mFollower, mFollowerSettings, *view, reply, mRandom, Base::RuntimeClock::now()));
  return true;
}

} // namespace Entry

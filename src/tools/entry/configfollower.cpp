#include "configfollower.h"

#include "absl/strings/str_cat.h"
#include "config/statemachine.h"

#include <glog/logging.h>
#include <zmq.hpp>

#include <chrono>

namespace Entry {

namespace {

constexpr std::chrono::milliseconds kPullInterval{ 200 };
constexpr int kReplyTimeoutMs = 1000;

} // namespace

ConfigFollower::ConfigFollower(const EntrySettings& aSettings, Metrics::Registry& aMetrics)
  : mSettings(aSettings)
  , mVersionGauge(aMetrics.GaugeFor("config_version_in_force"))
  , mServices(std::make_shared<Config::ServiceIndex>())
{
}

ConfigFollower::~ConfigFollower()
{
  Stop();
}

void
ConfigFollower::Start()
{
  mThread = std::thread([this] { Run(); });
}

void
ConfigFollower::Stop()
{
  mStopping = true;
  if (mThread.joinable()) {
    mThread.join();
  }
}

void
ConfigFollower::Run()
{
  zmq::context_t context;
  size_t next = mSettings.mInstance.mValue % mSettings.mControlFeeds.size();
  while (!mStopping) {
    if (!PullFrom(&context, mSettings.mControlFeeds[next])) {
      next = (next + 1) % mSettings.mControlFeeds.size();
    }
    std::this_thread::sleep_for(kPullInterval);
  }
}

bool
ConfigFollower::PullFrom(void* aContext, const Base::Endpoint& aFeed)
{
  zmq::socket_t socket(*static_cast<zmq::context_t*>(aContext), zmq::socket_type::req);
  socket.set(zmq::sockopt::linger, 0);
  socket.set(zmq::sockopt::rcvtimeo, kReplyTimeoutMs);
  socket.connect(absl::StrCat("tcp://", Base::ToString(aFeed)));
  lw::feed::PullRequest request;
  request.set_after_version(mState.version());
  lw::feed::InstanceReport* report = request.add_reports();
  report->set_instance(mSettings.mInstance.mValue);
  report->set_availability_zone(mSettings.mAvailabilityZone);
  report->set_version_in_force(mState.version());
  socket.send(zmq::buffer(request.SerializeAsString()), zmq::send_flags::none);
  zmq::message_t message;
  if (!socket.recv(message)) {
    return false;
  }
  lw::feed::PullReply reply;
  if (!reply.ParseFromArray(message.data(), static_cast<int>(message.size()))) {
    LOG(WARNING) << "[config] Control instance sent a malformed reply.";
    return false;
  }
  Apply(reply);
  return true;
}

void
ConfigFollower::Apply(const lw::feed::PullReply& aReply)
{
  const uint64_t before = mState.version();
  if (aReply.has_snapshot() && aReply.snapshot().version() > mState.version()) {
    mState = aReply.snapshot();
  }
  for (const lw::config::Revision& revision : aReply.revisions()) {
    if (revision.version() <= mState.version()) {
      continue;
    }
    const absl::Status status = Config::ApplyRevision(mState, revision);
    if (!status.ok()) {
      LOG(ERROR) << "[config] Revision refused: " << status.message() << ".";
      break;
    }
  }
  if (mState.version() == before) {
    return;
  }
  mServices.Publish(Config::BuildServiceIndex(mState));
  mVersionGauge.Set(static_cast<int64_t>(mState.version()));
  LOG(INFO) << "[config] Version " << mState.version() << " is in force.";
}

} // namespace Entry

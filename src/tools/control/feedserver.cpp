#include "feedserver.h"

#include "absl/strings/str_cat.h"
#include "base/zmqpoll.h"

#include <glog/logging.h>
#include <zmq_addon.hpp>

#include <algorithm>

namespace Control {

namespace {

using std::chrono::milliseconds;

/// Interval for checking mStopping.
constexpr milliseconds kIdleInterval{ 200 };
/// Interval for checking for a later version while pulls are waiting.
constexpr milliseconds kPendingPullInterval{ 20 };
constexpr uint32_t kMaxWaitMs = 10000;
/// Further pulls are answered immediately. Normally two relays in each of 17 availability zones
/// wait.
constexpr size_t kMaxPendingPulls = 256;
/// Identity, empty delimiter and request.
constexpr size_t kFrames = 3;
constexpr int64_t kMaxMessageBytes = int64_t{ 1024 } * 1024;

} // namespace

FeedServer::FeedServer(ConfigStore& aStore, const LogDriver& aLog, const Base::Endpoint& aListen)
  : mStore(aStore)
  , mLog(aLog)
  , mListen(aListen)
  , mSocket(mContext, zmq::socket_type::router)
{
}

FeedServer::~FeedServer()
{
  Stop();
}

absl::Status
FeedServer::Start()
{
  mSocket.set(zmq::sockopt::linger, 0);
  mSocket.set(zmq::sockopt::maxmsgsize, kMaxMessageBytes);
  try {
    mSocket.bind(absl::StrCat("tcp://", Base::ToString(mListen)));
  } catch (const zmq::error_t& error) {
    return absl::UnavailableError(
      absl::StrCat("cannot listen on ", Base::ToString(mListen), ": ", error.what()));
  }
  mThread = std::thread([this] { Run(); });
  return absl::OkStatus();
}

void
FeedServer::Stop()
{
  mStopping = true;
  if (mThread.joinable()) {
    mThread.join();
  }
}

void
FeedServer::Run()
{
  while (!mStopping) {
    zmq::pollitem_t items[] = { { mSocket.handle(), 0, ZMQ_POLLIN, 0 } };
    Base::PollSockets(items, 1, mPendingPulls.empty() ? kIdleInterval : kPendingPullInterval);
    if ((items[0].revents & ZMQ_POLLIN) != 0) {
      Receive();
    }
    AnswerPendingPulls();
  }
}

void
FeedServer::Receive()
{
  std::vector<zmq::message_t> frames;
  while (zmq::recv_multipart(mSocket, std::back_inserter(frames), zmq::recv_flags::dontwait)) {
    lw::feed::PullRequest request;
    const bool valid = frames.size() == kFrames &&
                       request.ParseFromArray(frames[2].data(), static_cast<int>(frames[2].size()));
    if (valid) {
      HandlePull(frames[0].to_string(), request);
    } else {
      LOG(WARNING) << "[feed] Ignored a malformed pull.";
    }
    frames.clear();
  }
}

void
FeedServer::HandlePull(const std::string& aRoutingId, const lw::feed::PullRequest& aRequest)
{
  const lw::feed::PullReply reply = mStore.Pull(aRequest);
  const bool hasUpdates = reply.has_snapshot() || reply.revisions_size() > 0;
  if (!hasUpdates && !mLog.IsConnected()) {
    // Without a reply the entry instance retries with another control instance, which may be newer.
    return;
  }
  if (hasUpdates || aRequest.wait_ms() == 0 || mPendingPulls.size() >= kMaxPendingPulls) {
    Send(aRoutingId, reply);
    return;
  }
  const milliseconds wait(std::min(aRequest.wait_ms(), kMaxWaitMs));
  mPendingPulls.push_back(
    { aRoutingId, aRequest.after_version(), Base::RuntimeClock::now() + wait });
}

void
FeedServer::AnswerPendingPulls()
{
  if (mPendingPulls.empty()) {
    return;
  }
  const uint64_t version = mStore.Version();
  const Base::TimePoint now = Base::RuntimeClock::now();
  for (auto pull = mPendingPulls.begin(); pull != mPendingPulls.end();) {
    if (version <= pull->mAfterVersion && now < pull->mUntil) {
      ++pull;
      continue;
    }
    lw::feed::PullRequest request;
    request.set_after_version(pull->mAfterVersion);
    Send(pull->mRoutingId, mStore.Pull(request));
    pull = mPendingPulls.erase(pull);
  }
}

void
FeedServer::Send(const std::string& aRoutingId, const lw::feed::PullReply& aReply)
{
  const std::string bytes = aReply.SerializeAsString();
  const std::array<zmq::const_buffer, kFrames> frames{ zmq::buffer(aRoutingId),
                                                       zmq::const_buffer(),
                                                       zmq::buffer(bytes) };
  // Ignores the error if the entry instance is no longer connected.
  static_cast<void>(zmq::send_multipart(mSocket, frames, zmq::send_flags::dontwait));
}

} // namespace Control

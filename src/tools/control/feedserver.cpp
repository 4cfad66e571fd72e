#include "feedserver.h"

#include "absl/strings/str_cat.h"

#include <glog/logging.h>
#include <zmq_addon.hpp>

#include <algorithm>

namespace Control {

namespace {

using std::chrono::milliseconds;

/// How often the thread looks for a stop, and for a later version while pulls wait.
constexpr milliseconds kIdlePoll{ 200 };
constexpr milliseconds kWaitingPoll{ 20 };
constexpr uint32_t kMaxWaitMs = 10000;
/// Two relays in each of 17 availability zones wait; more than that is answered at once.
constexpr size_t kMaxWaiting = 256;
/// Identity, empty delimiter, request.
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
    zmq::poll(items, 1, mWaiting.empty() ? kIdlePoll : kWaitingPoll);
    if ((items[0].revents & ZMQ_POLLIN) != 0) {
      Receive();
    }
    AnswerWaiting();
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
      LOG(WARNING) << "[feed] Malformed pull ignored.";
    }
    frames.clear();
  }
}

void
FeedServer::HandlePull(const std::string& aPuller, const lw::feed::PullRequest& aRequest)
{
  const lw::feed::PullReply reply = mStore.Pull(aRequest);
  const bool news = reply.has_snapshot() || reply.revisions_size() > 0;
  if (!news && !mLog.IsConnected()) {
    return; // Without an answer the puller turns to an instance that may know more.
  }
  if (news || aRequest.wait_ms() == 0 || mWaiting.size() >= kMaxWaiting) {
    Send(aPuller, reply);
    return;
  }
  const milliseconds wait(std::min(aRequest.wait_ms(), kMaxWaitMs));
  mWaiting.push_back({ aPuller, aRequest.after_version(), Base::RuntimeClock::now() + wait });
}

void
FeedServer::AnswerWaiting()
{
  if (mWaiting.empty()) {
    return;
  }
  const uint64_t version = mStore.Version();
  const Base::TimePoint now = Base::RuntimeClock::now();
  for (auto pull = mWaiting.begin(); pull != mWaiting.end();) {
    if (version <= pull->mAfterVersion && now < pull->mUntil) {
      ++pull;
      continue;
    }
    lw::feed::PullRequest request;
    request.set_after_version(pull->mAfterVersion);
    Send(pull->mPuller, mStore.Pull(request));
    pull = mWaiting.erase(pull);
  }
}

void
FeedServer::Send(const std::string& aPuller, const lw::feed::PullReply& aReply)
{
  const std::string bytes = aReply.SerializeAsString();
  const std::array<zmq::const_buffer, kFrames> frames{ zmq::buffer(aPuller),
                                                       zmq::const_buffer(),
                                                       zmq::buffer(bytes) };
  // A puller that has gone is not an error.
  static_cast<void>(zmq::send_multipart(mSocket, frames, zmq::send_flags::dontwait));
}

} // namespace Control

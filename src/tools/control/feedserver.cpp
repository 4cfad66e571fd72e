#include "feedserver.h"

#include "absl/strings/str_cat.h"

#include <glog/logging.h>
#include <zmq.hpp>

namespace Control {

namespace {

/// How often the thread looks whether it should stop.
constexpr int kReceiveTimeoutMs = 200;

} // namespace

FeedServer::FeedServer(ConfigStore& aStore, const Base::Endpoint& aListen)
  : mStore(aStore)
  , mListen(aListen)
{
}

FeedServer::~FeedServer()
{
  Stop();
}

void
FeedServer::Start()
{
  mThread = std::thread([this] { Run(); });
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
  zmq::context_t context;
  zmq::socket_t socket(context, zmq::socket_type::rep);
  socket.set(zmq::sockopt::linger, 0);
  socket.set(zmq::sockopt::rcvtimeo, kReceiveTimeoutMs);
  socket.bind(absl::StrCat("tcp://", Base::ToString(mListen)));
  while (!mStopping) {
    zmq::message_t message;
    if (!socket.recv(message)) {
      continue;
    }
    lw::feed::PullRequest request;
    lw::feed::PullReply reply;
    if (request.ParseFromArray(message.data(), static_cast<int>(message.size()))) {
      reply = mStore.Pull(request);
    } else {
      LOG(WARNING) << "[feed] Malformed pull ignored.";
    }
    socket.send(zmq::buffer(reply.SerializeAsString()), zmq::send_flags::none);
  }
}

} // namespace Control

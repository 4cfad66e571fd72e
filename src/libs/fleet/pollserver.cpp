#include "fleet/pollserver.h"

#include "absl/strings/str_cat.h"
#include "base/zmqpoll.h"

#include <glog/logging.h>
#include <zmq_addon.hpp>

#include <array>
#include <chrono>
#include <vector>

namespace Fleet {

namespace {

constexpr std::chrono::milliseconds kStopCheckInterval{ 500 };
constexpr int64_t kMaxMessageBytes = int64_t{ 64 } * 1024;
/// A message consists of the frames identity and poll.
constexpr size_t kFrameCount = 2;

} // namespace

PollServer::PollServer(DirectoryService& aDirectory, const Base::Endpoint& aListen)
  : mDirectory(aDirectory)
  , mListen(aListen)
  , mSocket(mContext, zmq::socket_type::router)
{
}

PollServer::~PollServer()
{
  Stop();
}

absl::Status
PollServer::Start()
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
PollServer::Stop()
{
  mStopping = true;
  if (mThread.joinable()) {
    mThread.join();
  }
}

void
PollServer::Run()
{
  while (!mStopping) {
    zmq::pollitem_t items[] = { { mSocket.handle(), 0, ZMQ_POLLIN, 0 } };
    Base::PollSockets(items, 1, kStopCheckInterval);
    if ((items[0].revents & ZMQ_POLLIN) != 0) {
      AnswerPolls();
    }
  }
}

void
PollServer::AnswerPolls()
{
  std::vector<zmq::message_t> frames;
  while (zmq::recv_multipart(mSocket, std::back_inserter(frames), zmq::recv_flags::dontwait)) {
    lw::fleet::Poll poll;
    const bool valid = frames.size() == kFrameCount &&
                       poll.ParseFromArray(frames[1].data(), static_cast<int>(frames[1].size()));
    if (valid) {
      const std::string bytes = mDirectory.Answer(poll).SerializeAsString();
      const std::array<zmq::const_buffer, kFrameCount> reply{
        zmq::buffer(frames[0].to_string_view()), zmq::buffer(bytes)
      };
      if (!zmq::send_multipart(mSocket, reply, zmq::send_flags::dontwait)) {
        LOG_EVERY_N(INFO, 100) << "[directory] Cannot send a reply: the poller has disconnected or "
                                  "reads too slowly.";
      }
    } else {
      LOG_EVERY_N(WARNING, 100) << "[directory] Ignored a malformed poll.";
    }
    frames.clear();
  }
}

} // namespace Fleet

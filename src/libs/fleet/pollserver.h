#pragma once

#include "absl/status/status.h"
#include "base/endpoint.h"
#include "fleet/directoryservice.h"

#include <zmq.hpp>

#include <atomic>
#include <thread>

namespace Fleet {

/// Answers the polls of entry instances in its own thread.
class PollServer
{
public:
  PollServer(DirectoryService& aDirectory, const Base::Endpoint& aListen);
  ~PollServer();
  PollServer(const PollServer&) = delete;
  PollServer& operator=(const PollServer&) = delete;

  /// \return Unavailable if the socket cannot be bound to the address.
  absl::Status Start();
  void Stop();

private:
  void Run();
  void AnswerPolls();

  DirectoryService& mDirectory;
  const Base::Endpoint mListen;
  zmq::context_t mContext;
  zmq::socket_t mSocket;
  std::thread mThread;
  std::atomic<bool> mStopping{ false };
};

} // namespace Fleet

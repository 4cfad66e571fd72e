#pragma once

#include "absl/status/status.h"
#include "base/endpoint.h"
#include "fleet/directoryservice.h"

#include <zmq.hpp>

#include <atomic>
#include <thread>

namespace Fleet {

/// Answers the polls of entry instances in a thread of its own.
class PollServer
{
public:
  PollServer(DirectoryService& aDirectory, const Base::Endpoint& aListen);
  ~PollServer();
  PollServer(const PollServer&) = delete;
  PollServer& operator=(const PollServer&) = delete;

  /// \return Unavailable if the address can't be used.
  absl::Status Start();
  void Stop();

private:
  void Run();
  void AnswerWaiting();

  DirectoryService& mDirectory;
  const Base::Endpoint mListen;
  zmq::context_t mContext;
  zmq::socket_t mSocket;
  std::thread mThread;
  std::atomic<bool> mStopping{ false };
};

} // namespace Fleet

#pragma once

#include "base/endpoint.h"
#include "base/runtimeclock.h"
#include "control/configstore.h"
#include "control/logdriver.h"

#include <atomic>
#include <list>
#include <string>
#include <thread>

namespace Control {

/// Answers configuration pulls of entry instances over ZeroMQ.
class FeedServer
{
public:
  FeedServer(ConfigStore& aStore, const LogDriver& aLog, const Base::Endpoint& aListen);
  ~FeedServer();

  /// \return Unavailable if the address cannot be bound.
  absl::Status Start();
  void Stop();

private:
  /// A pull that is answered when a later version is available or its wait time has elapsed.
  struct PendingPull
  {
    std::string mRoutingId;
    uint64_t mAfterVersion = 0;
    Base::TimePoint mUntil;
  };

  void Run();
  void Receive();
  void HandlePull(const std::string& aRoutingId, const lw::feed::PullRequest& aRequest);
  void AnswerPendingPulls();
  void Send(const std::string& aRoutingId, const lw::feed::PullReply& aReply);

  ConfigStore& mStore;
  const LogDriver& mLog;
  Base::Endpoint mListen;
  zmq::context_t mContext;
  zmq::socket_t mSocket;
  std::list<PendingPull> mPendingPulls;
  std::atomic<bool> mStopping{ false };
  std::thread mThread;
};

} // namespace Control

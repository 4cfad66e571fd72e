#pragma once

#include "base/endpoint.h"
#include "configstore.h"

#include <atomic>
#include <thread>

namespace Control {

/// Answers the configuration pulls of entry instances over ZeroMQ.
class FeedServer
{
public:
  FeedServer(ConfigStore& aStore, const Base::Endpoint& aListen);
  ~FeedServer();

  void Start();
  void Stop();

private:
  void Run();

  ConfigStore& mStore;
  Base::Endpoint mListen;
  std::atomic<bool> mStopping{ false };
  std::thread mThread;
};

} // namespace Control

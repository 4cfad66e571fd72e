#pragma once

#include "base/endpoint.h"

#include "announce.pb.h"

#include <atomic>
#include <string>
#include <thread>
#include <vector>

namespace UpstreamStandIn {

/// Renews the upstream's lease each second at any entry instance that answers.
class Announcer
{
public:
  Announcer(std::vector<std::string> aInstances, lw::announce::AnnounceRequest aFirst);
  ~Announcer();

  void Start();

  /// Announces a new state at once.
  void SetState(lw::announce::UpstreamState aState);

  void SetLoad(uint32_t aLoad) { mLoad = aLoad; }

private:
  void Run();
  void AnnounceOnce();

  std::vector<std::string> mInstances;
  lw::announce::AnnounceRequest mRequest;
  std::atomic<int> mState{ lw::announce::ACTIVE };
  std::atomic<uint32_t> mLoad{ 0 };
  std::atomic<bool> mStopping{ false };
  size_t mNext = 0;
  std::thread mThread;
};

} // namespace UpstreamStandIn

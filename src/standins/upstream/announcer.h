#pragma once

#include "base/endpoint.h"

#include "announce.pb.h"

#include <atomic>
#include <string>
#include <thread>
#include <vector>

namespace UpstreamStandIn {

/// Renews the lease of the upstream every second. Tries the entry instances in turn until one
/// accepts the announcement.
class Announcer
{
public:
  Announcer(std::vector<std::string> aInstances, lw::announce::AnnounceRequest aRequest);
  ~Announcer();

  void Start();

  /// Sets the state. A change is announced without waiting for the next renewal.
  void SetState(lw::announce::UpstreamState aState);

  void SetLoad(uint32_t aLoad) { mLoad = aLoad; }

private:
  void RenewLoop();
  void AnnounceOnce();

  std::vector<std::string> mInstances;
  lw::announce::AnnounceRequest mRequest;
  std::atomic<int> mState{ lw::announce::ACTIVE };
  std::atomic<uint32_t> mLoad{ 0 };
  std::atomic<bool> mStopping{ false };
  size_t mNextInstance = 0;
  std::thread mThread;
};

} // namespace UpstreamStandIn

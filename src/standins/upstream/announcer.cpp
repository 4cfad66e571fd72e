#include "announcer.h"

#include "announce.grpc.pb.h"

#include <glog/logging.h>
#include <grpcpp/grpcpp.h>

#include <chrono>
#include <utility>

namespace UpstreamStandIn {

namespace {

constexpr std::chrono::milliseconds kRenewalInterval{ 1000 };
constexpr std::chrono::milliseconds kStatePollInterval{ 50 };
constexpr std::chrono::milliseconds kAnnounceTimeout{ 500 };

} // namespace

Announcer::Announcer(std::vector<std::string> aInstances, lw::announce::AnnounceRequest aRequest)
  : mInstances(std::move(aInstances))
  , mRequest(std::move(aRequest))
{
}

Announcer::~Announcer()
{
  mStopping = true;
  if (mThread.joinable()) {
    mThread.join();
  }
}

void
Announcer::Start()
{
  mThread = std::thread([this] { RenewLoop(); });
}

void
Announcer::SetState(lw::announce::UpstreamState aState)
{
  mState = aState;
}

void
Announcer::RenewLoop()
{
  while (!mStopping) {
    AnnounceOnce();
    const int announcedState = mRequest.state();
    const auto nextRenewal = std::chrono::steady_clock::now() + kRenewalInterval;
    while (!mStopping && mState == announcedState &&
           std::chrono::steady_clock::now() < nextRenewal) {
      std::this_thread::sleep_for(kStatePollInterval);
    }
  }
}

void
Announcer::AnnounceOnce()
{
  mRequest.set_sequence(mRequest.sequence() + 1);
  mRequest.set_state(static_cast<lw::announce::UpstreamState>(mState.load()));
  mRequest.set_load(mLoad);
  for (size_t attempt = 0; attempt < mInstances.size(); ++attempt) {
    const std::string& instance = mInstances[mNextInstance % mInstances.size()];
    const auto stub = lw::announce::Announcer::NewStub(
      grpc::CreateChannel(instance, grpc::InsecureChannelCredentials()));
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + kAnnounceTimeout);
    lw::announce::AnnounceReply reply;
    const grpc::Status status = stub->Announce(&context, mRequest, &reply);
    if (status.ok()) {
      return;
    }
    LOG(WARNING) << "[upstream] Announcement to " << instance
                 << " failed: " << status.error_message() << ".";
    ++mNextInstance;
  }
}

} // namespace UpstreamStandIn

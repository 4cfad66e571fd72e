#include "announcer.h"

#include "announce.grpc.pb.h"

#include <glog/logging.h>
#include <grpcpp/grpcpp.h>

#include <chrono>
#include <utility>

namespace UpstreamStandIn {

namespace {

constexpr std::chrono::milliseconds kRenewInterval{ 1000 };
constexpr std::chrono::milliseconds kStatePoll{ 50 };
constexpr std::chrono::milliseconds kCallTimeout{ 500 };

} // namespace

Announcer::Announcer(std::vector<std::string> aInstances, lw::announce::AnnounceRequest aFirst)
  : mInstances(std::move(aInstances))
  , mRequest(std::move(aFirst))
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
  mThread = std::thread([this] { Run(); });
}

void
Announcer::SetState(lw::announce::UpstreamState aState)
{
  mState = aState;
}

void
Announcer::Run()
{
  while (!mStopping) {
    AnnounceOnce();
    const int announced = mRequest.state();
    const auto end = std::chrono::steady_clock::now() + kRenewInterval;
    while (!mStopping && mState == announced && std::chrono::steady_clock::now() < end) {
      std::this_thread::sleep_for(kStatePoll);
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
    const std::string& instance = mInstances[mNext % mInstances.size()];
    const auto stub = lw::announce::Announcer::NewStub(
      grpc::CreateChannel(instance, grpc::InsecureChannelCredentials()));
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + kCallTimeout);
    lw::announce::AnnounceReply reply;
    const grpc::Status status = stub->Announce(&context, mRequest, &reply);
    if (status.ok()) {
      return;
    }
    LOG(WARNING) << "[upstream] Announcement to " << instance
                 << " failed: " << status.error_message() << ".";
    ++mNext;
  }
}

} // namespace UpstreamStandIn

#include "announceservice.h"

#include "absl/strings/str_cat.h"

#include <chrono>
#include <string>

namespace Entry {

namespace {

constexpr std::chrono::seconds kStopLimit{ 2 };

} // namespace

AnnounceService::AnnounceService(MembershipAgent& aAgent)
  : mAgent(aAgent)
{
}

absl::Status
AnnounceService::Start(const Base::Endpoint& aListen)
{
  int port = 0;
  grpc::ServerBuilder builder;
  builder.AddListeningPort(Base::ToString(aListen), grpc::InsecureServerCredentials(), &port);
  builder.RegisterService(this);
  mServer = builder.BuildAndStart();
  if (mServer == nullptr || port == 0) {
    return absl::UnavailableError(absl::StrCat("cannot listen on ", Base::ToString(aListen)));
  }
  return absl::OkStatus();
}

void
AnnounceService::Stop()
{
  if (mServer != nullptr) {
    mServer->Shutdown(std::chrono::system_clock::now() + kStopLimit);
  }
}

grpc::Status
AnnounceService::Announce(grpc::ServerContext* /*aContext*/,
                          const lw::announce::AnnounceRequest* aRequest,
                          lw::announce::AnnounceReply* aReply)
{
  const absl::StatusOr<lw::announce::AnnounceReply> reply = mAgent.Announce(*aRequest);
  if (!reply.ok()) {
    const auto code = static_cast<grpc::StatusCode>(reply.status().code());
    return { code, std::string(reply.status().message()) };
  }
  *aReply = *reply;
  return grpc::Status::OK;
}

} // namespace Entry

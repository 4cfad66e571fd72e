#pragma once

#include "absl/status/status.h"
#include "base/endpoint.h"
#include "membershipagent.h"

#include "announce.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <memory>

namespace Entry {

/// gRPC service that takes the upstreams' announcements.
class AnnounceService final : public lw::announce::Announcer::Service
{
public:
  explicit AnnounceService(MembershipAgent& aAgent);

  /// Starts to listen.
  /// \return Unavailable if the address can't be bound.
  absl::Status Start(const Base::Endpoint& aListen);

  void Stop();

  grpc::Status Announce(grpc::ServerContext* aContext,
                        const lw::announce::AnnounceRequest* aRequest,
                        lw::announce::AnnounceReply* aReply) override;

private:
  MembershipAgent& mAgent;
  std::unique_ptr<grpc::Server> mServer;
};

} // namespace Entry

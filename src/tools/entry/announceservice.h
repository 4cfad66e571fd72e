#pragma once

#include "absl/status/status.h"
#include "base/endpoint.h"
#include "base/snapshot.h"
#include "config/serviceindex.h"
#include "membershipagent.h"
#include "metrics/registry.h"

#include "announce.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <memory>

namespace Entry {

/// gRPC service for the announcements of upstreams.
class AnnounceService final : public lw::announce::Announcer::Service
{
public:
  AnnounceService(MembershipAgent& aAgent,
                  const Base::Snapshot<Config::ServiceIndex>& aServices,
                  Metrics::Registry& aMetrics);

  /// Starts listening.
  /// \return Unavailable if the address cannot be bound.
  absl::Status Start(const Base::Endpoint& aListen);

  void Stop();

  grpc::Status Announce(grpc::ServerContext* aContext,
                        const lw::announce::AnnounceRequest* aRequest,
                        lw::announce::AnnounceReply* aReply) override;

private:
  MembershipAgent& mAgent;
  const Base::Snapshot<Config::ServiceIndex>& mServices;
  Metrics::Counter& mAccepted;
  Metrics::Counter& mInvalid;
  Metrics::Counter& mUnavailable;
  Metrics::Counter& mStale;
  Metrics::Counter& mAddressInUse;
  std::unique_ptr<grpc::Server> mServer;
};

} // namespace Entry

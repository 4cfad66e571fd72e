#pragma once

#include "base/endpoint.h"
#include "config/validation.h"
#include "control/configstore.h"
#include "control/logdriver.h"

#include "operator.grpc.pb.h"

#include <grpcpp/grpcpp.h>

namespace Control {

/// gRPC interface for operators.
class OperatorService final : public lw::operator_api::Operator::Service
{
public:
  OperatorService(const ConfigStore& aStore,
                  LogDriver& aLog,
                  Config::KnownAvailabilityZones aAvailabilityZones);

  grpc::Status Apply(grpc::ServerContext* aContext,
                     const lw::config::Change* aChange,
                     lw::operator_api::ChangeReply* aReply) override;
  grpc::Status Read(grpc::ServerContext* aContext,
                    const lw::operator_api::ReadRequest* aRequest,
                    lw::operator_api::ReadReply* aReply) override;
  grpc::Status History(grpc::ServerContext* aContext,
                       const lw::operator_api::HistoryRequest* aRequest,
                       lw::operator_api::HistoryReply* aReply) override;
  grpc::Status Status(grpc::ServerContext* aContext,
                      const lw::operator_api::StatusRequest* aRequest,
                      lw::operator_api::StatusReply* aReply) override;

private:
  grpc::Status ToGrpcStatus(const absl::Status& aStatus, uint64_t aCurrentVersion) const;

  const ConfigStore& mStore;
  LogDriver& mLog;
  const Config::KnownAvailabilityZones mAvailabilityZones;
};

} // namespace Control

#include "operatorservice.h"

#include <string>

namespace Control {

OperatorService::OperatorService(ConfigStore& aStore, const Base::Endpoint& aEndpoint)
  : mStore(aStore)
  , mEndpoint(aEndpoint)
{
}

grpc::Status
OperatorService::Apply(grpc::ServerContext* /*aContext*/,
                       const lw::config::Change* aChange,
                       lw::operator_api::ChangeReply* aReply)
{
  const absl::StatusOr<Base::ConfigVersion> version = mStore.Apply(*aChange);
  if (!version.ok()) {
    const auto code = static_cast<grpc::StatusCode>(version.status().code());
    return { code, std::string(version.status().message()) };
  }
  aReply->set_version(version->mValue);
  return grpc::Status::OK;
}

grpc::Status
OperatorService::Read(grpc::ServerContext* /*aContext*/,
                      const lw::operator_api::ReadRequest* /*aRequest*/,
                      lw::operator_api::ReadReply* aReply)
{
  *aReply->mutable_state() = mStore.State();
  return grpc::Status::OK;
}

grpc::Status
OperatorService::History(grpc::ServerContext* /*aContext*/,
                         const lw::operator_api::HistoryRequest* aRequest,
                         lw::operator_api::HistoryReply* aReply)
{
  for (const lw::config::Revision& revision : mStore.History(aRequest->after_version())) {
    *aReply->add_revisions() = revision;
  }
  return grpc::Status::OK;
}

grpc::Status
OperatorService::Status(grpc::ServerContext* /*aContext*/,
                        const lw::operator_api::StatusRequest* /*aRequest*/,
                        lw::operator_api::StatusReply* aReply)
{
  mStore.FillStatus(*aReply);
  aReply->set_leader(Base::ToString(mEndpoint));
  return grpc::Status::OK;
}

} // namespace Control

#include "operatorservice.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

namespace Control {

namespace {

/// Limit of the wait for the outcome of a change. An election takes a few seconds at most.
constexpr std::chrono::seconds kMaxWait{ 10 };

/// \return the time until the deadline of the call, at most kMaxWait.
Base::Duration
RemainingTime(const grpc::ServerContext& aContext)
{
  const auto untilDeadline = aContext.deadline() - std::chrono::system_clock::now();
  const Base::Duration limit = kMaxWait;
  return untilDeadline < limit ? std::max(std::chrono::duration_cast<Base::Duration>(untilDeadline),
                                          Base::Duration::zero())
                               : limit;
}

} // namespace

OperatorService::OperatorService(const ConfigStore& aStore,
                                 LogDriver& aLog,
                                 Config::KnownAvailabilityZones aAvailabilityZones)
  : mStore(aStore)
  , mLog(aLog)
  , mAvailabilityZones(std::move(aAvailabilityZones))
{
}

grpc::Status
OperatorService::ToGrpcStatus(const absl::Status& aStatus, uint64_t aCurrentVersion) const
{
  if (aStatus.ok()) {
    return grpc::Status::OK;
  }
  lw::operator_api::ErrorDetail detail;
  const std::string message(aStatus.message());
  if (absl::IsAborted(aStatus)) {
    detail.set_current_version(aCurrentVersion);
  } else if (absl::IsUnavailable(aStatus)) {
    detail.set_leader(mLog.LeaderAddress());
  } else if (const auto path = aStatus.GetPayload(Config::kFieldPathPayload)) {
    lw::operator_api::FieldError* field = detail.add_fields();
    field->set_path(std::string(*path));
    field->set_reason(message);
  }
  // absl::StatusCode and grpc::StatusCode have the same numeric values.
  const auto code = static_cast<grpc::StatusCode>(aStatus.code());
  const std::string leader = detail.leader().empty() ? "" : "; the leader is " + detail.leader();
  return { code, message + leader, detail.SerializeAsString() };
}

grpc::Status
OperatorService::Apply(grpc::ServerContext* aContext,
                       const lw::config::Change* aChange,
                       lw::operator_api::ChangeReply* aReply)
{
  absl::Status valid = Config::ValidateChange(*aChange);
  if (valid.ok() && aChange->has_release_addresses()) {
    valid = absl::InvalidArgumentError("release_addresses is reserved for control instances");
  }
  if (valid.ok() && aChange->has_set_evacuation()) {
    valid = aChange->operator_id() == Config::kControlOperatorId
              ? absl::InvalidArgumentError(
                  "evacuations of operator \"lw-control\" are reserved for control instances")
              : Config::CheckAvailabilityZone(mAvailabilityZones, aChange->set_evacuation());
  }
  if (!valid.ok()) {
    return ToGrpcStatus(valid, 0);
  }
  const ChangeOutcome outcome = mLog.Apply(*aChange, RemainingTime(*aContext));
  aReply->set_version(outcome.mVersion.mValue);
  return ToGrpcStatus(outcome.mStatus, outcome.mCurrentVersion);
}

grpc::Status
OperatorService::Read(grpc::ServerContext* aContext,
                      const lw::operator_api::ReadRequest* /*aRequest*/,
                      lw::operator_api::ReadReply* aReply)
{
  const absl::Status confirmed = mLog.ConfirmRead(RemainingTime(*aContext));
  if (confirmed.ok()) {
    *aReply->mutable_state() = mStore.State();
  }
  return ToGrpcStatus(confirmed, 0);
}

grpc::Status
OperatorService::History(grpc::ServerContext* aContext,
                         const lw::operator_api::HistoryRequest* aRequest,
                         lw::operator_api::HistoryReply* aReply)
{
  // Without confirmation an outdated instance could return a history that lacks acknowledged
  // changes.
  const absl::Status confirmed = mLog.ConfirmRead(RemainingTime(*aContext));
  if (confirmed.ok()) {
    *aReply = mStore.History(aRequest->after_version());
  }
  return ToGrpcStatus(confirmed, 0);
}

grpc::Status
OperatorService::Status(grpc::ServerContext* /*aContext*/,
                        const lw::operator_api::StatusRequest* /*aRequest*/,
                        lw::operator_api::StatusReply* aReply)
{
  mStore.FillStatus(*aReply);
  aReply->set_leader(mLog.LeaderAddress());
  mLog.FillStatus(*aReply->mutable_control());
  return grpc::Status::OK;
}

} // namespace Control

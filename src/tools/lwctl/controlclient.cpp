#include "controlclient.h"

#include "operator.grpc.pb.h"

#include <grpcpp/grpcpp.h>

#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace Lwctl {

namespace {

using lw::operator_api::Operator;
using Call = std::function<grpc::Status(Operator::Stub&, grpc::ClientContext&)>;

constexpr std::chrono::milliseconds kAttemptTimeout{ 2000 };
constexpr std::chrono::milliseconds kRetryInterval{ 200 };

bool
IsRetryable(grpc::StatusCode aCode)
{
  return aCode == grpc::StatusCode::UNAVAILABLE || aCode == grpc::StatusCode::DEADLINE_EXCEEDED;
}

absl::Status
CallAnyInstance(const ControlClient& aClient, const Call& aCall)
{
  const Base::TimePoint end = Base::RuntimeClock::now() + aClient.mTimeout;
  grpc::Status last(grpc::StatusCode::UNAVAILABLE, "no control instance specified");
  for (size_t attempt = 0; Base::RuntimeClock::now() < end && !aClient.mInstances.empty();
       ++attempt) {
    const Base::Endpoint& instance = aClient.mInstances[attempt % aClient.mInstances.size()];
    const std::unique_ptr<Operator::Stub> stub = Operator::NewStub(
      grpc::CreateChannel(Base::ToString(instance), grpc::InsecureChannelCredentials()));
    grpc::ClientContext context;
    context.set_deadline(std::chrono::system_clock::now() + kAttemptTimeout);
    last = aCall(*stub, context);
    if (last.ok() || !IsRetryable(last.error_code())) {
      break;
    }
    std::this_thread::sleep_for(kRetryInterval);
  }
  return { static_cast<absl::StatusCode>(last.error_code()), last.error_message() };
}

} // namespace

absl::StatusOr<uint64_t>
Apply(const ControlClient& aClient, const lw::config::Change& aChange)
{
  lw::operator_api::ChangeReply reply;
  const absl::Status status =
    CallAnyInstance(aClient, [&](Operator::Stub& aStub, grpc::ClientContext& aContext) {
      return aStub.Apply(&aContext, aChange, &reply);
    });
  if (!status.ok()) {
    return status;
  }
  return reply.version();
}

absl::StatusOr<lw::config::State>
Read(const ControlClient& aClient)
{
  lw::operator_api::ReadReply reply;
  const absl::Status status =
    CallAnyInstance(aClient, [&](Operator::Stub& aStub, grpc::ClientContext& aContext) {
      return aStub.Read(&aContext, {}, &reply);
    });
  if (!status.ok()) {
    return status;
  }
  return reply.state();
}

absl::StatusOr<lw::operator_api::HistoryReply>
History(const ControlClient& aClient, uint64_t aAfterVersion)
{
  lw::operator_api::HistoryRequest request;
  request.set_after_version(aAfterVersion);
  lw::operator_api::HistoryReply reply;
  const absl::Status status =
    CallAnyInstance(aClient, [&](Operator::Stub& aStub, grpc::ClientContext& aContext) {
      return aStub.History(&aContext, request, &reply);
    });
  if (!status.ok()) {
    return status;
  }
  return reply;
}

absl::StatusOr<lw::operator_api::StatusReply>
Status(const ControlClient& aClient)
{
  lw::operator_api::StatusReply reply;
  const absl::Status status =
    CallAnyInstance(aClient, [&](Operator::Stub& aStub, grpc::ClientContext& aContext) {
      return aStub.Status(&aContext, {}, &reply);
    });
  if (!status.ok()) {
    return status;
  }
  return reply;
}

} // namespace Lwctl

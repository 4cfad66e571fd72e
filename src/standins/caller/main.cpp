#include "absl/flags/flag.h"
#include "opaqueload.h"
#include "program/startup.h"
#include "requestload.h"

#include <boost/asio/steady_timer.hpp>
#include <glog/logging.h>
#include <nlohmann/json.hpp>

#include <iostream>

ABSL_FLAG(std::string, opaque_ingress, "", "ingress address of the fabric for the opaque service");
ABSL_FLAG(std::string, opaque_service, "", "name of the opaque service");
ABSL_FLAG(uint32_t, opaque_flows, 0, "number of concurrent opaque flows");
ABSL_FLAG(std::string,
          request_ingress,
          "",
          "ingress address of the fabric for the request service");
ABSL_FLAG(std::string, request_service, "", "name of the request service");
ABSL_FLAG(uint32_t, request_flows, 0, "number of concurrent request flows");
ABSL_FLAG(std::string, repeatable_kind, "lookup", "kind of the idempotent requests");
ABSL_FLAG(std::string, unrepeatable_kind, "buyback", "kind of the non-idempotent requests");
ABSL_FLAG(uint32_t,
          interval_ms,
          50,
          "milliseconds between an answer and the next packet of a flow");
ABSL_FLAG(std::string, name, "caller", "caller name; prefix of each request body");
ABSL_FLAG(std::string,
          record,
          "",
          "file to which the outcome of each answered or rejected request is appended");
ABSL_FLAG(double, seconds, 10, "duration of the load, at most 600");

namespace {

constexpr double kMaxLoadSeconds = 600;

absl::StatusOr<Base::Endpoint>
ParseIngress(const std::string& aText, uint32_t aFlows)
{
  return aFlows == 0 ? Base::Endpoint() : Base::ParseEndpoint(aText);
}

int
RunCaller(const Base::Endpoint& aOpaque, const Base::Endpoint& aRequest)
{
  boost::asio::io_context context{ 1 };
  CallerStandIn::OpaqueLoadSettings opaque;
  opaque.mIngress = aOpaque;
  opaque.mService = absl::GetFlag(FLAGS_opaque_service);
  opaque.mFlows = absl::GetFlag(FLAGS_opaque_flows);
  opaque.mPacketInterval = std::chrono::milliseconds(absl::GetFlag(FLAGS_interval_ms));
  CallerStandIn::OpaqueLoad opaqueLoad(context, opaque);

  CallerStandIn::RequestLoadSettings request;
  request.mIngress = aRequest;
  request.mService = absl::GetFlag(FLAGS_request_service);
  request.mFlows = absl::GetFlag(FLAGS_request_flows);
  request.mIdempotentKind = absl::GetFlag(FLAGS_repeatable_kind);
  request.mNonIdempotentKind = absl::GetFlag(FLAGS_unrepeatable_kind);
  request.mRequestInterval = std::chrono::milliseconds(absl::GetFlag(FLAGS_interval_ms));
  request.mCallerName = absl::GetFlag(FLAGS_name);
  request.mRecordPath = absl::GetFlag(FLAGS_record);
  CallerStandIn::RequestLoad requestLoad(context, request);

  opaqueLoad.Start();
  requestLoad.Start();
  const double seconds = std::min(absl::GetFlag(FLAGS_seconds), kMaxLoadSeconds);
  boost::asio::steady_timer timer(context,
                                  std::chrono::milliseconds(static_cast<int64_t>(seconds * 1000)));
  timer.async_wait([&](const boost::system::error_code& /*aError*/) {
    opaqueLoad.Stop();
    requestLoad.Stop();
    context.stop();
  });
  context.run();

  nlohmann::json result;
  opaqueLoad.Report(result);
  requestLoad.Report(result);
  std::cout << result.dump() << std::endl;
  return Program::kExitOk;
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  Program::ParseCommandLine(
    aArgc,
    aArgv,
    "Load generator that simulates callers. Prints its results as one JSON object at the end.");
  const auto opaque =
    ParseIngress(absl::GetFlag(FLAGS_opaque_ingress), absl::GetFlag(FLAGS_opaque_flows));
  const auto request =
    ParseIngress(absl::GetFlag(FLAGS_request_ingress), absl::GetFlag(FLAGS_request_flows));
  for (const absl::Status& status : { opaque.status(), request.status() }) {
    if (!status.ok()) {
      std::cerr << status.message() << std::endl;
      return Program::kExitBadSettings;
    }
  }
  try {
    return RunCaller(*opaque, *request);
  } catch (const std::exception& error) {
    LOG(ERROR) << "[caller] " << error.what() << ".";
    return Program::kExitFailure;
  }
}

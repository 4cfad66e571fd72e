#pragma once

#include "base/endpoint.h"

#include <boost/asio/io_context.hpp>

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

namespace CallerStandIn {

struct RequestLoadSettings
{
  Base::Endpoint mIngress;
  /// Service name expected in each answer.
  std::string mService;
  std::string mIdempotentKind;
  std::string mNonIdempotentKind;
  uint32_t mFlows = 0;
  std::chrono::milliseconds mRequestInterval{ 50 };
  std::chrono::milliseconds mDeadline{ 2000 };
  /// Prefix of each request body; distinguishes the requests of several callers.
  std::string mCallerName;
  /// File to which a line "answered BODY" or "not_run BODY" is appended for each request with this
  /// outcome.
  std::string mRecordPath;
};

/// Runs a number of request flows. Each flow has one request outstanding at a time, resends it
/// until it is answered or its deadline passes, and verifies the answer.
class RequestLoad
{
public:
  RequestLoad(boost::asio::io_context& aContext, const RequestLoadSettings& aSettings);
  ~RequestLoad();

  void Start();
  void Stop();

  /// Writes the sums of the counters of all flows to aResult.
  void Report(nlohmann::json& aResult) const;

private:
  class Flow;

  RequestLoadSettings mSettings;
  std::ofstream mRecord;
  std::vector<std::unique_ptr<Flow>> mFlows;
};

} // namespace CallerStandIn

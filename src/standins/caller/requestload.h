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
  /// Service name that the answers must carry.
  std::string mService;
  std::string mRepeatableKind;
  std::string mUnrepeatableKind;
  uint32_t mFlows = 0;
  std::chrono::milliseconds mRequestInterval{ 50 };
  std::chrono::milliseconds mDeadline{ 2000 };
  /// Makes the bodies of this caller unique.
  std::string mCallerName;
  /// Gets a line "not_run BODY" or "answered BODY" for each request that ended so.
  std::string mRecordPath;
};

/// Request flows that send one request at a time, resend it while no answer comes, and check the
/// answers.
class RequestLoad
{
public:
  RequestLoad(boost::asio::io_context& aContext, const RequestLoadSettings& aSettings);
  ~RequestLoad();

  void Start();
  void Stop();

  /// Adds the counts to the caller's result.
  void Report(nlohmann::json& aResult) const;

private:
  class Flow;

  RequestLoadSettings mSettings;
  std::ofstream mRecord;
  std::vector<std::unique_ptr<Flow>> mFlows;
};

} // namespace CallerStandIn

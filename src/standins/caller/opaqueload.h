#pragma once

#include "base/endpoint.h"

#include <boost/asio/io_context.hpp>

#include <nlohmann/json_fwd.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace CallerStandIn {

struct OpaqueLoadSettings
{
  Base::Endpoint mIngress;
  /// Service name expected in each echo.
  std::string mService;
  uint32_t mFlows = 0;
  std::chrono::milliseconds mPacketInterval{ 50 };
};

/// Runs a number of opaque flows. Each flow has one packet in flight at a time and checks that all
/// its packets are echoed by the same upstream.
class OpaqueLoad
{
public:
  OpaqueLoad(boost::asio::io_context& aContext, const OpaqueLoadSettings& aSettings);
  ~OpaqueLoad();

  void Start();
  void Stop();

  /// Writes the counters of all flows to aResult.
  void Report(nlohmann::json& aResult) const;

private:
  class Flow;

  OpaqueLoadSettings mSettings;
  std::vector<std::unique_ptr<Flow>> mFlows;
};

} // namespace CallerStandIn

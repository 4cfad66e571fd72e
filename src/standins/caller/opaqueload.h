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
  /// Service name that the echoes must carry.
  std::string mService;
  uint32_t mFlows = 0;
  std::chrono::milliseconds mPacketInterval{ 50 };
};

/// Opaque flows that send one packet at a time and check that the same upstream echoes each of
/// them.
class OpaqueLoad
{
public:
  OpaqueLoad(boost::asio::io_context& aContext, const OpaqueLoadSettings& aSettings);
  ~OpaqueLoad();

  void Start();
  void Stop();

  /// Adds the counts to the caller's result.
  void Report(nlohmann::json& aResult) const;

private:
  class Flow;

  OpaqueLoadSettings mSettings;
  std::vector<std::unique_ptr<Flow>> mFlows;
};

} // namespace CallerStandIn

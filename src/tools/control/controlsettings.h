#pragma once

#include "absl/status/status.h"
#include "base/endpoint.h"
#include "base/ids.h"
#include "settings/reader.h"

#include <string>

namespace Control {

/// Settings of one control instance.
struct ControlSettings
{
  Base::InstanceId mInstance;
  std::string mAvailabilityZone;
  /// gRPC address for operators.
  Base::Endpoint mOperatorListen;
  /// ZeroMQ address for the configuration feed.
  Base::Endpoint mFeedListen;
};

/// Reads and checks the settings.
/// \return the first error with the path of its key.
absl::Status
ReadControlSettings(Settings::Reader& aReader, ControlSettings& aSettings);

} // namespace Control

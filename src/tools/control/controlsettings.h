#pragma once

#include "absl/status/status.h"
#include "base/endpoint.h"
#include "base/ids.h"
#include "base/runtimeclock.h"
#include "consensus/node.h"
#include "settings/reader.h"

#include <string>
#include <vector>

namespace Control {

/// Where this instance reaches a control instance. A proxy may stand between.
struct ControlAddress
{
  Base::InstanceId mInstance;
  Base::Endpoint mPeerAddress;
  /// Told to operators when that instance leads.
  Base::Endpoint mOperatorAddress;
};

/// Settings of one control instance.
struct ControlSettings
{
  Base::InstanceId mInstance;
  std::string mAvailabilityZone;
  /// gRPC address for operators.
  Base::Endpoint mOperatorListen;
  /// ZeroMQ address for the configuration feed.
  Base::Endpoint mFeedListen;
  /// ZeroMQ address for the other control instances; unused with one instance.
  Base::Endpoint mPeerListen;
  std::string mDataDirectory;
  /// All control instances, the own one included.
  std::vector<ControlAddress> mInstances;
  /// An entry instance that did not report for this long does not hold up the release of addresses.
  Base::Duration mReportWindow{};
  Consensus::Settings mConsensus;
};

/// Reads and checks the settings.
/// \return the first error with the path of its key.
absl::Status
ReadControlSettings(Settings::Reader& aReader, ControlSettings& aSettings);

} // namespace Control

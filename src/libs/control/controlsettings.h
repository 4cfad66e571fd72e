#pragma once

#include "absl/status/status.h"
#include "base/endpoint.h"
#include "base/ids.h"
#include "base/runtimeclock.h"
#include "consensus/node.h"
#include "settings/reader.h"

#include <optional>
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
  /// Instance ids are IPv4 addresses, and every control instance uses the ports of this one. An
  /// instance that is not in mInstances is then reached under its id.
  bool mIdsAreAddresses = false;
};

/// \return where a control instance is reached, or nothing if it is unknown.
std::optional<ControlAddress>
AddressOf(const ControlSettings& aSettings, Base::InstanceId aInstance);

/// Reads and checks the settings.
/// \return the first error with the path of its key.
absl::Status
ReadControlSettings(Settings::Reader& aReader, ControlSettings& aSettings);

} // namespace Control

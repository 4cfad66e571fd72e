#pragma once

#include "absl/status/status.h"
#include "base/endpoint.h"
#include "base/ids.h"
#include "base/runtimeclock.h"
#include "config/validation.h"
#include "consensus/node.h"
#include "settings/reader.h"

#include <optional>
#include <string>
#include <vector>

namespace Control {

/// Addresses of a control instance as seen from this instance, possibly those of a proxy.
struct ControlAddress
{
  Base::InstanceId mInstance;
  Base::Endpoint mPeerAddress;
  /// Returned to operators while that instance is the leader.
  Base::Endpoint mOperatorAddress;
};

/// Settings of one control instance.
struct ControlSettings
{
  Base::InstanceId mInstance;
  std::string mAvailabilityZone;
  /// Availability zones that can be evacuated.
  Config::KnownAvailabilityZones mAvailabilityZones;
  /// Listen address of the gRPC interface for operators.
  Base::Endpoint mOperatorListen;
  /// Listen address of the ZeroMQ configuration feed.
  Base::Endpoint mFeedListen;
  /// ZeroMQ listen address for the other control instances. Unused with a single instance.
  Base::Endpoint mPeerListen;
  std::string mDataDirectory;
  /// All control instances, including this one.
  std::vector<ControlAddress> mInstances;
  /// An entry instance that has not reported for this long no longer delays the release of
  /// addresses.
  Base::Duration mReportWindow{};
  Consensus::Settings mConsensus;
  /// If true, instance ids are IPv4 addresses and all control instances use the same ports, so that
  /// instances outside mInstances can be reached by their id.
  bool mIdsAreAddresses = false;
};

/// \return the addresses of a control instance, or std::nullopt if they are unknown.
std::optional<ControlAddress>
FindControlAddress(const ControlSettings& aSettings, Base::InstanceId aInstance);

/// Reads and checks the settings.
/// \return OK, or the first error with the path of its key.
absl::Status
ReadControlSettings(Settings::Reader& aReader, ControlSettings& aSettings);

} // namespace Control

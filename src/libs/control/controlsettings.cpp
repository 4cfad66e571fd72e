#include "control/controlsettings.h"

#include <algorithm>
#include <chrono>
#include <set>

namespace Control {

namespace {

constexpr Settings::Range kInstanceRange{ 1, 1000000 };
constexpr Settings::Range kHeartbeatRangeMs{ 10, 10000 };
constexpr Settings::Range kElectionRangeMs{ 100, 100000 };
constexpr Settings::Range kSnapshotRange{ 10, 1000000 };
constexpr Settings::Range kReportWindowRange{ 1, 86400 };
constexpr int64_t kDefaultHeartbeatMs = 100;
constexpr int64_t kDefaultElectionMs = 1000;
constexpr int64_t kDefaultSnapshotInterval = 1000;
constexpr int64_t kDefaultReportWindow = 3600;
/// With fewer heartbeats in an election timeout, one lost message starts an election.
constexpr int kMinHeartbeatsPerElection = 3;

Base::InstanceId
ReadInstance(Settings::Reader& aReader)
{
  return Base::InstanceId(static_cast<uint32_t>(aReader.Integer("instance", kInstanceRange)));
}

void
ReadInstances(Settings::Reader& aReader, ControlSettings& aSettings)
{
  if (!aReader.Has("instances")) {
    aSettings.mInstances = { { aSettings.mInstance, {}, aSettings.mOperatorListen } };
    return;
  }
  aSettings.mPeerListen = aReader.Endpoint("peer_listen");
  std::set<Base::InstanceId> seen;
  for (Settings::Reader& reader : aReader.Objects("instances")) {
    ControlAddress address;
    address.mInstance = ReadInstance(reader);
    address.mPeerAddress = reader.Endpoint("peer_address");
    address.mOperatorAddress = reader.Endpoint("operator_address");
    aSettings.mInstances.push_back(address);
    if (!seen.insert(address.mInstance).second) {
      reader.Fail("instance", "appears twice");
    }
    // The first error is kept in the document and reported by the caller.
    reader.Finish().IgnoreError();
  }
  const size_t count = aSettings.mInstances.size();
  if (count != 1 && count != 3 && count != 5) {
    aReader.Fail("instances", "must name 1, 3 or 5 instances");
  }
  if (seen.count(aSettings.mInstance) == 0) {
    aReader.Fail("instances", "must name this instance too");
  }
}

void
ReadConsensus(Settings::Reader& aReader, ControlSettings& aSettings)
{
  Consensus::Settings& consensus = aSettings.mConsensus;
  consensus.mSelf = aSettings.mInstance;
  for (const ControlAddress& address : aSettings.mInstances) {
    consensus.mInstances.push_back(address.mInstance);
  }
  consensus.mHeartbeatInterval = std::chrono::milliseconds(
    aReader.IntegerOr("heartbeat_ms", kHeartbeatRangeMs, kDefaultHeartbeatMs));
  consensus.mElectionTimeout = std::chrono::milliseconds(
    aReader.IntegerOr("election_timeout_ms", kElectionRangeMs, kDefaultElectionMs));
  if (consensus.mElectionTimeout < consensus.mHeartbeatInterval * kMinHeartbeatsPerElection) {
    aReader.Fail("election_timeout_ms", "must be at least 3 times heartbeat_ms");
  }
  consensus.mSnapshotInterval = static_cast<uint64_t>(
    aReader.IntegerOr("snapshot_interval", kSnapshotRange, kDefaultSnapshotInterval));
  consensus.mRetainedEntries = consensus.mSnapshotInterval;
}

} // namespace

std::optional<ControlAddress>
FindControlAddress(const ControlSettings& aSettings, Base::InstanceId aInstance)
{
  for (const ControlAddress& address : aSettings.mInstances) {
    if (address.mInstance == aInstance) {
      return address;
    }
  }
  if (!aSettings.mIdsAreAddresses) {
    return std::nullopt;
  }
  return ControlAddress{ aInstance,
                         { aInstance.mValue, aSettings.mPeerListen.mPort },
                         { aInstance.mValue, aSettings.mOperatorListen.mPort } };
}

absl::Status
ReadControlSettings(Settings::Reader& aReader, ControlSettings& aSettings)
{
  aSettings.mInstance = ReadInstance(aReader);
  aSettings.mAvailabilityZone = aReader.String("availability_zone");
  aSettings.mAvailabilityZones = aReader.OptionalKeys("availability_zones");
  aSettings.mOperatorListen = aReader.Endpoint("operator_listen");
  aSettings.mFeedListen = aReader.Endpoint("feed_listen");
  aSettings.mDataDirectory = aReader.String("data_directory");
  aSettings.mReportWindow = std::chrono::seconds(
    aReader.IntegerOr("report_window_seconds", kReportWindowRange, kDefaultReportWindow));
  ReadInstances(aReader, aSettings);
  ReadConsensus(aReader, aSettings);
  return aReader.Finish();
}

} // namespace Control

#pragma once

#include "absl/status/status.h"
#include "base/endpoint.h"
#include "base/ids.h"
#include "settings/reader.h"

#include <string>
#include <vector>

namespace Entry {

/// Settings of one entry instance.
struct EntrySettings
{
  Base::InstanceId mInstance;
  /// The fabric may deliver a packet to any instance of the region.
  std::string mRegion;
  std::string mAvailabilityZone;
  /// UDP address for datagrams of the fabric.
  Base::Endpoint mDatagramListen;
  /// UDP address for datagrams of other entry instances.
  Base::Endpoint mPeerListen;
  /// gRPC address for announcements of upstreams.
  Base::Endpoint mAnnounceListen;
  /// HTTP address of the metrics.
  Base::Endpoint mMetricsListen;
  /// Destination of datagrams to callers.
  Base::Endpoint mEgress;
  /// Addresses of the configuration feeds of the control instances.
  std::vector<Base::Endpoint> mControlFeeds;
  /// Peer addresses of instances in the same region.
  std::vector<Base::Endpoint> mSeeds;
  /// Key for the authentication of tickets and terms, shared by the entry instances of a region.
  std::string mRegionKey;
  /// Directory in which the configuration is stored, or empty if the instance has no disk.
  std::string mDataDirectory;
  int mThreads = 2;
  /// Time limit of a graceful shutdown in milliseconds.
  int64_t mShutdownLimitMs = 10000;
};

/// Reads and validates the settings.
/// \return the first error with the path of its key.
absl::Status
ReadEntrySettings(Settings::Reader& aReader, EntrySettings& aSettings);

} // namespace Entry

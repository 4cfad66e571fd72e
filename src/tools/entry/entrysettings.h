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
  /// The instances of a region form one group: the fabric may hand any packet to any of them.
  std::string mRegion;
  std::string mAvailabilityZone;
  /// Receives the fabric's datagrams.
  Base::Endpoint mDatagramListen;
  /// Receives the peers' datagrams.
  Base::Endpoint mPeerListen;
  /// gRPC address for announcements of upstreams.
  Base::Endpoint mAnnounceListen;
  /// HTTP address for the counters.
  Base::Endpoint mMetricsListen;
  /// Where datagrams to callers are sent.
  Base::Endpoint mEgress;
  /// Configuration feeds of the control instances.
  std::vector<Base::Endpoint> mControlFeeds;
  /// Peer addresses of instances of the own region.
  std::vector<Base::Endpoint> mSeeds;
  /// Shared by the entry instances of a region; authenticates tickets.
  std::string mRegionKey;
  /// Keeps the configuration over restarts; empty if the instance has no disk.
  std::string mDataDirectory;
  int mThreads = 2;
  /// Longest time for a graceful shutdown, in milliseconds.
  int64_t mShutdownLimitMs = 10000;
};

/// Reads and checks the settings.
/// \return the first error with the path of its key.
absl::Status
ReadEntrySettings(Settings::Reader& aReader, EntrySettings& aSettings);

} // namespace Entry

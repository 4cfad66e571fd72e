#include "entrysettings.h"

namespace Entry {

namespace {

constexpr Settings::Range kInstanceRange{ 1, 1000000 };
constexpr Settings::Range kThreadRange{ 1, 64 };
constexpr Settings::Range kShutdownRangeMs{ 100, 600000 };
constexpr int64_t kDefaultThreads = 2;
constexpr int64_t kDefaultShutdownMs = 10000;
constexpr size_t kMinKeyLength = 16;

} // namespace

absl::Status
ReadEntrySettings(Settings::Reader& aReader, EntrySettings& aSettings)
{
  aSettings.mInstance =
    Base::InstanceId(static_cast<uint32_t>(aReader.Integer("instance", kInstanceRange)));
  aSettings.mRegion = aReader.String("region");
  aSettings.mAvailabilityZone = aReader.String("availability_zone");
  aSettings.mDatagramListen = aReader.Endpoint("datagram_listen");
  aSettings.mPeerListen = aReader.Endpoint("peer_listen");
  aSettings.mAnnounceListen = aReader.Endpoint("announce_listen");
  aSettings.mMetricsListen = aReader.Endpoint("metrics_listen");
  aSettings.mEgress = aReader.Endpoint("egress");
  aSettings.mControlFeeds = aReader.Endpoints("control_feeds");
  aSettings.mSeeds = aReader.Endpoints("seeds");
  aSettings.mRegionKey = aReader.String("region_key");
  if (aSettings.mRegionKey.size() < kMinKeyLength) {
    aReader.Fail("region_key", "must have at least 16 characters");
  }
  if (aSettings.mControlFeeds.empty()) {
    aReader.Fail("control_feeds", "must name at least one control instance");
  }
  aSettings.mDataDirectory = aReader.StringOr("data_directory", "");
  aSettings.mThreads =
    static_cast<int>(aReader.IntegerOr("threads", kThreadRange, kDefaultThreads));
  aSettings.mShutdownLimitMs =
    aReader.IntegerOr("shutdown_limit_ms", kShutdownRangeMs, kDefaultShutdownMs);
  return aReader.Finish();
}

} // namespace Entry

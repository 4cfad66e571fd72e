#include "controlsettings.h"

namespace Control {

namespace {

constexpr Settings::Range kInstanceRange{ 1, 1000000 };

} // namespace

absl::Status
ReadControlSettings(Settings::Reader& aReader, ControlSettings& aSettings)
{
  aSettings.mInstance =
    Base::InstanceId(static_cast<uint32_t>(aReader.Integer("instance", kInstanceRange)));
  aSettings.mAvailabilityZone = aReader.String("availability_zone");
  aSettings.mOperatorListen = aReader.Endpoint("operator_listen");
  aSettings.mFeedListen = aReader.Endpoint("feed_listen");
  return aReader.Finish();
}

} // namespace Control

#include "steering/evacuations.h"

#include <chrono>

namespace Steering {

namespace {

constexpr std::chrono::seconds kSlowStart{ 10 };
/// Share of new flows that may go to a zone right after its evacuation.
constexpr double kFirstShare = 0.25;

} // namespace

bool
Update(Evacuations& aEvacuations, const lw::config::Evacuations& aUpdate, Base::TimePoint aNow)
{
  if (aUpdate.revision() <= aEvacuations.mRevision) {
    return false;
  }
  aEvacuations.mRevision = aUpdate.revision();
  const auto& updated = aUpdate.availability_zones();
  const std::set<std::string> zones(updated.begin(), updated.end());
  for (const std::string& zone : aEvacuations.mZones) {
    if (zones.count(zone) == 0) {
      aEvacuations.mReadmittedAt[zone] = aNow;
    }
  }
  for (const std::string& zone : zones) {
    aEvacuations.mReadmittedAt.erase(zone);
  }
  aEvacuations.mZones = zones;
  return true;
}

void
ExpireSlowStarts(Evacuations& aEvacuations, Base::TimePoint aNow)
{
  auto& readmitted = aEvacuations.mReadmittedAt;
  for (auto item = readmitted.begin(); item != readmitted.end();) {
    item = aNow - item->second >= kSlowStart ? readmitted.erase(item) : std::next(item);
  }
}

bool
IsEvacuated(const Evacuations& aEvacuations, const std::string& aZone)
{
  return aEvacuations.mZones.count(aZone) != 0;
}

double
ShareOfNewFlows(const Evacuations& aEvacuations, const std::string& aZone, Base::TimePoint aNow)
{
  if (IsEvacuated(aEvacuations, aZone)) {
    return 0;
  }
  const auto readmitted = aEvacuations.mReadmittedAt.find(aZone);
  if (readmitted == aEvacuations.mReadmittedAt.end() || aNow - readmitted->second >= kSlowStart) {
    return 1;
  }
  const std::chrono::duration<double> passed = aNow - readmitted->second;
  return kFirstShare + (1 - kFirstShare) * (passed / std::chrono::duration<double>(kSlowStart));
}

std::set<std::string>
SelectZonesToAvoid(const Evacuations& aEvacuations,
                   Base::RandomSource& aRandom,
                   Base::TimePoint aNow)
{
  std::set<std::string> avoided;
  for (const auto& [zone, readmittedAt] : aEvacuations.mReadmittedAt) {
    const double share = ShareOfNewFlows(aEvacuations, zone, aNow);
    if (share < 1 && Base::NextUnit(aRandom) >= share) {
      avoided.insert(zone);
    }
  }
  return avoided;
}

} // namespace Steering

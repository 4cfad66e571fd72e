#include "measure/floodplan.h"

#include "absl/strings/str_cat.h"

namespace Measure {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kSmallFloodFactor = 3;
constexpr double kLargeFloodFactor = 10;

std::vector<Admission::Policy::Client>
Clients(const std::vector<std::string>& aNames)
{
  constexpr uint32_t kShares[] = { 300, 300, 200, 200 };
  constexpr uint32_t kSurge = 10;
  std::vector<Admission::Policy::Client> clients;
  for (size_t i = 0; i < aNames.size(); ++i) {
    clients.push_back({ aNames[i], kShares[i], kSurge });
  }
  return clients;
}

FloodPlan
PlanFor(const FloodService& aService, uint64_t aSeed, const FloodSettings& aSettings)
{
  FloodPlan plan;
  plan.mService = aService;
  plan.mService.mDuration = Base::Duration(static_cast<int64_t>(
    static_cast<double>(aService.mDuration.count()) * aSettings.mLengthFactor));
  plan.mLoad = aSettings.mLoad;
  plan.mSeed = aSeed;
  return plan;
}

std::string
FloodName(const Flood& aFlood)
{
  const std::string& subject = aFlood.mClient.empty() ? aFlood.mKind : aFlood.mClient;
  return absl::StrCat("flood of ", subject, " x", aFlood.mFactor);
}

struct NamedFaults
{
  std::string mName;
  std::vector<Fault> mFaults;
};

std::vector<NamedFaults>
FaultsFor(Base::Duration aRunDuration)
{
  const Base::Duration early = aRunDuration / 5;
  const Base::Duration middle = aRunDuration / 2;
  const Base::Duration late = aRunDuration * 4 / 5;
  return {
    { "drains and cold starts",
      { { FaultKind::Drain, 0, early, aRunDuration },
        { FaultKind::Drain, 4, middle, aRunDuration },
        { FaultKind::ColdStart, 1, early, aRunDuration },
        { FaultKind::ColdStart, 5, middle, aRunDuration } } },
    { "slow host", { { FaultKind::SlowHost, 0, early, late } } },
    { "host without reports", { { FaultKind::NoReport, 0, -seconds(60), aRunDuration } } },
    { "hang of an upstream", { { FaultKind::Hang, 0, early, middle } } },
    { "instance lost", { { FaultKind::InstanceLost, 0, early, aRunDuration } } },
    { "availability zone cut off", { { FaultKind::AvailabilityZoneCut, 2, early, late } } },
  };
}

} // namespace

std::vector<FloodService>
FloodServices()
{
  const auto karaburun = Clients({ "carsi", "liman", "kordon", "okul" });
  const auto lagos = Clients({ "apapa-port", "ikeja-test", "lekki-yard", "badagry-lab" });
  return {
    { "counter",
      14,
      3,
      { { { "lookup", 600, 1 }, milliseconds(15), milliseconds(800) },
        { { "buyback", 400, 2 }, milliseconds(30), milliseconds(1500) } },
      karaburun,
      seconds(30) },
    { "export",
      4,
      3,
      { { { "export", 700, 0 }, seconds(2), seconds(90), 2 },
        { { "page", 300, 1 }, milliseconds(150), seconds(3) } },
      karaburun,
      seconds(240) },
    { "tag",
      14,
      2,
      { { { "record", 600, 1 }, milliseconds(12), milliseconds(800) },
        { { "result", 400, 2 }, milliseconds(25), milliseconds(1500) } },
      lagos,
      seconds(30) },
    { "certificate",
      4,
      2,
      { { { "certificate", 700, 0 }, milliseconds(1500), seconds(60), 2 },
        { { "preview", 300, 1 }, milliseconds(100), seconds(3) } },
      lagos,
      seconds(240) },
  };
}

std::vector<FloodPlan>
FloodPlans(uint64_t aSeed, const FloodSettings& aSettings)
{
  std::vector<FloodPlan> plans;
  for (const FloodService& service : FloodServices()) {
    const std::string& least = service.mKinds.front().mPolicy.mName;
    const std::string& most = service.mKinds.back().mPolicy.mName;
    for (const Flood& flood : { Flood{ least, "", kSmallFloodFactor },
                                Flood{ least, "", kLargeFloodFactor },
                                Flood{ most, "", kSmallFloodFactor },
                                Flood{ most, "", kLargeFloodFactor },
                                Flood{ "", service.mClients.front().mName, kLargeFloodFactor } }) {
      FloodPlan plan = PlanFor(service, aSeed, aSettings);
      plan.mFlood = flood;
      plan.mName = absl::StrCat(service.mName, ": ", FloodName(flood));
      plans.push_back(plan);
    }
  }
  return plans;
}

std::vector<FloodPlan>
FaultPlans(uint64_t aSeed, const FloodSettings& aSettings)
{
  std::vector<FloodPlan> plans;
  for (const FloodService& service : FloodServices()) {
    if (service.mHosts < 5) {
      continue;
    }
    const FloodPlan base = PlanFor(service, aSeed, aSettings);
    for (const NamedFaults& faults : FaultsFor(base.mService.mDuration)) {
      FloodPlan plan = base;
      plan.mFlood = { service.mKinds.front().mPolicy.mName, "", kSmallFloodFactor };
      plan.mFaults = faults.mFaults;
      plan.mName = absl::StrCat(service.mName, ": ", faults.mName, ", ", FloodName(plan.mFlood));
      plans.push_back(plan);
    }
  }
  return plans;
}

} // namespace Measure

#pragma once

#include "admission/scheduler.h"
#include "base/runtimeclock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Measure {

/// A kind of work of a simulated service.
struct FloodKind
{
  Admission::Policy::Kind mPolicy;
  /// Mean time that one request occupies a slot.
  Base::Duration mMeanServiceTime;
  /// Timeout of the caller, measured from when it sends the request.
  Base::Duration mDeadline;
  /// Number of requests that a caller sends on one flow before it opens a new one.
  uint32_t mRequestsForFlow = 20;
};

/// Hosts, kinds of work and clients of one service.
struct FloodService
{
  std::string mName;
  uint32_t mHosts = 14;
  uint32_t mSlots = 3;
  /// Sorted by urgency, least urgent first.
  std::vector<FloodKind> mKinds;
  std::vector<Admission::Policy::Client> mClients;
  Base::Duration mDuration;
};

enum class FaultKind
{
  Drain,
  ColdStart,
  SlowHost,
  NoReport,
  Hang,
  InstanceLost,
  AvailabilityZoneCut
};

/// A fault injected into a run.
struct Fault
{
  FaultKind mKind;
  /// Index of the host or availability zone. For InstanceLost, a host whose dispatcher is lost.
  uint32_t mIndex = 0;
  /// Relative to the start of the measured time.
  Base::Duration mFrom;
  Base::Duration mUntil;
};

/// Load in excess of the guarantees. An empty client means all clients, an empty kind all kinds.
struct Flood
{
  std::string mKind;
  std::string mClient;
  /// Excess load as a multiple of the capacity of the whole service; 0 disables the flood.
  double mFactor = 0;
};

/// Configuration of one run.
struct FloodPlan
{
  std::string mName;
  FloodService mService;
  Flood mFlood;
  std::vector<Fault> mFaults;
  /// Regular load of each kind and client as a fraction of its guarantee.
  double mLoad = 0.6;
  uint64_t mSeed = 1;
};

/// Parameters that can be overridden by the JSON settings file.
struct FloodSettings
{
  double mLoad = 0.6;
  /// Scales the length of the runs.
  double mLengthFactor = 1;
};

constexpr uint32_t kInstances = 20;
constexpr uint32_t kAvailabilityZones = 3;

/// Availability zone of an instance or upstream by its index.
constexpr uint32_t
AvailabilityZoneOf(uint32_t aIndex)
{
  return aIndex % kAvailabilityZones;
}

/// \return the four services of the two users.
std::vector<FloodService>
FloodServices();

/// \return runs with a flood of one kind or one client and without faults.
std::vector<FloodPlan>
FloodPlans(uint64_t aSeed, const FloodSettings& aSettings);

/// \return runs with faults during a flood of the least urgent kind.
std::vector<FloodPlan>
FaultPlans(uint64_t aSeed, const FloodSettings& aSettings);

} // namespace Measure

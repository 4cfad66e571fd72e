#pragma once

#include "admission/scheduler.h"
#include "base/runtimeclock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Measure {

/// A kind of work of a measured service.
struct FloodKind
{
  Admission::Policy::Kind mPolicy;
  /// Mean slot time of one request.
  Base::Duration mMean;
  /// Time after which the caller gives up.
  Base::Duration mDeadline;
  /// Requests that a caller sends on one flow.
  uint32_t mRequestsForFlow = 20;
};

/// Hosts, kinds and clients of one service.
struct FloodService
{
  std::string mName;
  uint32_t mHosts = 14;
  uint32_t mSlots = 3;
  /// Kinds by urgency, the least urgent one first.
  std::vector<FloodKind> mKinds;
  std::vector<Admission::Policy::Client> mClients;
  Base::Duration mLength;
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

/// Something that goes wrong in a run.
struct Fault
{
  FaultKind mKind;
  /// Host, instance or availability zone, by the kind of fault.
  uint32_t mIndex = 0;
  /// Relative to the start of the measured time.
  Base::Duration mFrom;
  Base::Duration mUntil;
};

/// Extra work. Without a client it comes from all clients, without a kind in all kinds.
struct Flood
{
  std::string mKind;
  std::string mClient;
  /// Extra work as a multiple of what the whole service can take; 0 for no flood.
  double mFactor = 0;
};

/// One run.
struct FloodPlan
{
  std::string mName;
  FloodService mService;
  Flood mFlood;
  std::vector<Fault> mFaults;
  /// Ordinary load of each kind and client as a part of its guarantee.
  double mLoad = 0.6;
  uint64_t mSeed = 1;
};

/// What JSON settings can change.
struct FloodSettings
{
  double mLoad = 0.6;
  /// Part of the usual length of the runs.
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

/// \return floods of kinds and clients, without faults.
std::vector<FloodPlan>
FloodPlans(uint64_t aSeed, const FloodSettings& aSettings);

/// \return faults during a flood of the least urgent work.
std::vector<FloodPlan>
FaultPlans(uint64_t aSeed, const FloodSettings& aSettings);

} // namespace Measure

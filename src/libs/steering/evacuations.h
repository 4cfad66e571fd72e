#pragma once

#include "base/random.h"
#include "base/runtimeclock.h"

#include "config.pb.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Steering {

/// Evacuated availability zones in force at an entry instance. Bounded by the zones that operators
/// have evacuated; after a restart it is fetched again.
struct Evacuations
{
  uint64_t mRevision = 0;
  std::set<std::string> mZones;
  /// When this instance learned that the evacuation of a zone had ended. Only zones under slow
  /// start.
  std::map<std::string, Base::TimePoint> mReadmittedAt;
};

/// Applies the list of a control instance if its revision is higher than the one in force. A lower
/// one comes from a control instance that lags or has restarted with an older state.
/// \return true if the list was applied.
bool
Update(Evacuations& aEvacuations, const lw::config::Evacuations& aUpdate, Base::TimePoint aNow);

/// Ends the slow start of zones that have been readmitted for long enough.
void
ExpireSlowStarts(Evacuations& aEvacuations, Base::TimePoint aNow);

/// \return true if the upstreams of the zone may not get new flows.
bool
IsEvacuated(const Evacuations& aEvacuations, const std::string& aZone);

/// \return the share of new flows that may go to the zone, from 0 to 1. After an evacuation, it
/// rises from a quarter to all over 10 s, because the upstreams may have become cold.
double
ShareOfNewFlows(const Evacuations& aEvacuations, const std::string& aZone, Base::TimePoint aNow);

/// Decides for one new flow which zones it should avoid because of their slow start. Uses no random
/// numbers if no zone is under slow start.
std::set<std::string>
SelectZonesToAvoid(const Evacuations& aEvacuations,
                   Base::RandomSource& aRandom,
                   Base::TimePoint aNow);

} // namespace Steering

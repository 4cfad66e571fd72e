#pragma once

#include "base/endpoint.h"
#include "base/runtimeclock.h"

#include <cstdint>
#include <map>

namespace Admission {

/// Recent outcomes of one upstream as observed by this instance.
struct UpstreamHealth
{
  uint32_t mFailuresInRow = 0;
  /// Number of consecutive ejections, which determines the duration of the next one.
  uint32_t mEjections = 0;
  Base::TimePoint mEjectedUntil;
};

/// Health of the upstreams of one service in the local availability zone, with one entry for each
/// upstream with a lease. Local to each instance and empty after a restart.
using HealthTable = std::map<Base::Endpoint, UpstreamHealth>;

/// Records the outcome of a flow or request. After several consecutive failures the upstream is
/// excluded from selection for new flows, unless this would eject more than a third of aTable.
/// \param aTable has an entry for each upstream of the service in the availability zone.
void
RecordOutcome(HealthTable& aTable,
              const Base::Endpoint& aUpstream,
              bool aSucceeded,
              Base::TimePoint aNow);

bool
IsEjected(const UpstreamHealth& aHealth, Base::TimePoint aNow);

} // namespace Admission

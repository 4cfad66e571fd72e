#pragma once

#include "base/endpoint.h"
#include "base/runtimeclock.h"

#include <cstdint>
#include <map>

namespace Admission {

/// Recent outcomes of one upstream as an instance saw them.
struct UpstreamHealth
{
  uint32_t mFailuresInRow = 0;
  /// Ejections in a row; each one lasts longer.
  uint32_t mEjections = 0;
  Base::TimePoint mEjectedUntil;
};

/// Health of the upstreams of one service in the own availability zone. Each instance owns its own
/// and relearns it after a restart; it has one entry for each upstream with a lease.
using HealthTable = std::map<Base::Endpoint, UpstreamHealth>;

/// Counts the outcome of a flow or request. After several failures in a row the upstream is ejected
/// from the choice for new flows, unless that would eject more than a third of aTable.
/// \param aTable has an entry for each upstream of the service in the availability zone.
void
RecordOutcome(HealthTable& aTable,
              const Base::Endpoint& aUpstream,
              bool aSucceeded,
              Base::TimePoint aNow);

bool
IsEjected(const UpstreamHealth& aHealth, Base::TimePoint aNow);

} // namespace Admission

#include "admission/ejection.h"

#include <algorithm>

namespace Admission {

namespace {

constexpr uint32_t kFailuresToEject = 5;
constexpr Base::Duration kInitialEjectionTime = std::chrono::seconds(5);
constexpr uint32_t kMaxEjectionDoublings = 3;

// The limit of a third is rounded down, so with one or two upstreams none is ejected.
bool
MayEjectOneMore(const HealthTable& aTable, Base::TimePoint aNow)
{
  const auto ejected = std::count_if(aTable.begin(), aTable.end(), [aNow](const auto& aEntry) {
    return IsEjected(aEntry.second, aNow);
  });
  return static_cast<size_t>(ejected) + 1 <= aTable.size() / 3;
}

} // namespace

void
RecordOutcome(HealthTable& aTable,
              const Base::Endpoint& aUpstream,
              bool aSucceeded,
              Base::TimePoint aNow)
{
  const auto found = aTable.find(aUpstream);
  if (found == aTable.end()) {
    return;
  }
  UpstreamHealth& health = found->second;
  if (aSucceeded) {
    health.mFailuresInRow = 0;
    // A late answer to work sent before the ejection does not shorten the next ejection.
    if (!IsEjected(health, aNow)) {
      health.mEjections = 0;
    }
    return;
  }
  ++health.mFailuresInRow;
  if (health.mFailuresInRow < kFailuresToEject || IsEjected(health, aNow) ||
      !MayEjectOneMore(aTable, aNow)) {
    return;
  }
  health.mEjectedUntil =
    aNow + kInitialEjectionTime * (1U << std::min(health.mEjections, kMaxEjectionDoublings));
  ++health.mEjections;
  // A single failure after the ejection ejects the upstream again.
  health.mFailuresInRow = kFailuresToEject - 1;
}

bool
IsEjected(const UpstreamHealth& aHealth, Base::TimePoint aNow)
{
  return aNow < aHealth.mEjectedUntil;
}

} // namespace Admission

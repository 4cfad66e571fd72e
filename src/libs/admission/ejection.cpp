#include "admission/ejection.h"

#include <algorithm>

namespace Admission {

namespace {

constexpr uint32_t kFailuresToEject = 5;
constexpr Base::Duration kFirstEjection = std::chrono::seconds(5);
constexpr uint32_t kMaxDoublings = 3;

// A third, rounded down: with one or two upstreams none is ejected.
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
    // A late answer from before the ejection does not shorten the next one.
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
  health.mEjectedUntil = aNow + kFirstEjection * (1U << std::min(health.mEjections, kMaxDoublings));
  ++health.mEjections;
  // The first failure after the ejection ejects it again.
  health.mFailuresInRow = kFailuresToEject - 1;
}

bool
IsEjected(const UpstreamHealth& aHealth, Base::TimePoint aNow)
{
  return aNow < aHealth.mEjectedUntil;
}

} // namespace Admission

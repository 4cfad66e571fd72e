#include "steering/loadtable.h"

#include <algorithm>
#include <chrono>

namespace Steering {

namespace {

using std::chrono::milliseconds;

/// Short, because a single unanswered opening packet may be due to a lost datagram.
constexpr milliseconds kFirstSuspension{ 500 };
constexpr milliseconds kMaxSuspension{ 8000 };
/// An answer received here within this time overrides suspensions reported by peers.
constexpr milliseconds kRecentAnswerWindow{ 1000 };
constexpr uint32_t kMaxSuspensionDoublings = 4;
/// Longer than kMaxSuspension, so that the back-off of an unresponsive upstream is not reset
/// between two suspensions.
constexpr std::chrono::seconds kUnusedLoadLifetime{ 60 };
/// Load of the upstreams that are not in the table.
constexpr Load kUnusedLoad;

} // namespace

const Load&
LoadOf(const LoadTable& aTable, Directory::RouteTag aTag)
{
  const auto found = aTable.mByTag.find(aTag);
  return found == aTable.mByTag.end() ? kUnusedLoad : found->second;
}

void
RecordAnswer(Load& aLoad, Base::TimePoint aNow)
{
  aLoad.mSuspensions = 0;
  aLoad.mSuspendedUntil = Base::TimePoint();
  aLoad.mLastAnswerAt = aNow;
}

bool
RecordUnanswered(Load& aLoad, Base::TimePoint aForwardedAt, Base::TimePoint aNow)
{
  if (aLoad.mLastAnswerAt >= aForwardedAt || aNow < aLoad.mSuspendedUntil) {
    return false;
  }
  const uint32_t doublings = std::min(aLoad.mSuspensions, kMaxSuspensionDoublings);
  const Base::Duration length = kFirstSuspension * (1U << doublings);
  aLoad.mSuspendedUntil = aNow + std::min<Base::Duration>(length, kMaxSuspension);
  ++aLoad.mSuspensions;
  return true;
}

void
RemoveUnusedLoads(LoadTable& aTable, Base::TimePoint aNow)
{
  for (auto item = aTable.mByTag.begin(); item != aTable.mByTag.end();) {
    const Load& load = item->second;
    const bool isReported = load.mPeerFlows + load.mSuspendedByPeers > 0 ||
                            load.mPeerAnswered > 0 || load.mPeerUnanswered > 0;
    const bool hasWork = load.mOwnFlows > 0 || isReported;
    const Base::TimePoint used = std::max(load.mLastAnswerAt, load.mSuspendedUntil);
    item =
      !hasWork && aNow - used > kUnusedLoadLifetime ? aTable.mByTag.erase(item) : std::next(item);
  }
}

bool
IsSuspended(const Load& aLoad, Base::TimePoint aNow)
{
  if (aNow < aLoad.mSuspendedUntil) {
    return true;
  }
  const bool hasRecentAnswer =
    aLoad.mLastAnswerAt != Base::TimePoint() && aNow - aLoad.mLastAnswerAt < kRecentAnswerWindow;
  return aLoad.mSuspendedByPeers > 0 && !hasRecentAnswer;
}

} // namespace Steering

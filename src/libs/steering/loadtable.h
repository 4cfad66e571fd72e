#pragma once

#include "base/runtimeclock.h"
#include "directory/upstream.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>

namespace Steering {

/// Load and responsiveness of one upstream, as seen by an entry instance and its peers.
struct Load
{
  /// Flows with requests in progress that this instance assigned, and those reported by its peers.
  uint32_t mOwnFlows = 0;
  uint32_t mPeerFlows = 0;
  /// Number of peers that have suspended the upstream.
  uint32_t mSuspendedByPeers = 0;
  /// Requests to the upstream that peers reported, for outlier ejection.
  uint32_t mPeerAnswered = 0;
  uint32_t mPeerUnanswered = 0;
  /// Consecutive suspensions by this instance since the last answer.
  uint32_t mSuspensions = 0;
  Base::TimePoint mSuspendedUntil;
  Base::TimePoint mLastAnswerAt;
  /// When this instance last assigned a flow to the upstream.
  Base::TimePoint mLastChosenAt;
};

/// Loads of the upstreams that were used or reported in the last minute. Owned by one entry
/// instance and rebuilt after a restart.
struct LoadTable
{
  std::unordered_map<Directory::RouteTag, Load> mByTag;
  /// Responsiveness of each remote availability zone as a whole. If the link to a zone fails, the
  /// zone is suspended at once instead of one upstream, and one delayed flow, at a time.
  std::map<std::string, Load> mByRemoteZone;
};

/// \return the upstream's load, or an empty one if the upstream is not in the table.
const Load&
LoadOf(const LoadTable& aTable, Directory::RouteTag aTag);

/// Records that a caller completed a handshake, which ends the suspension.
void
RecordAnswer(Load& aLoad, Base::TimePoint aNow);

/// Suspends an upstream that did not answer an opening packet, unless it has answered since then or
/// is already suspended. The suspension time doubles until the upstream answers.
/// \param aForwardedAt is the time at which the opening packet was forwarded.
/// \return true if this call suspended the upstream.
bool
RecordUnanswered(Load& aLoad, Base::TimePoint aForwardedAt, Base::TimePoint aNow);

/// Removes upstreams without outstanding flows that were neither suspended nor answered recently.
void
RemoveUnusedLoads(LoadTable& aTable, Base::TimePoint aNow);

/// \return true if new flows should avoid the upstream because it does not answer.
bool
IsSuspended(const Load& aLoad, Base::TimePoint aNow);

} // namespace Steering

#pragma once

#include "base/runtimeclock.h"
#include "directory/upstream.h"

#include <cstdint>
#include <unordered_map>

namespace Steering {

/// What an entry instance and its peers know of one upstream's load and answers.
struct Load
{
  /// Flows with work in progress that this instance placed, and those that its peers report.
  uint32_t mOwn = 0;
  uint32_t mPeers = 0;
  /// Peers that get no answers from it.
  uint32_t mSuspendedByPeers = 0;
  /// Opening packets since the last answer that the caller had to repeat.
  uint32_t mUnanswered = 0;
  uint32_t mSuspensions = 0;
  Base::TimePoint mSuspendedUntil;
  Base::TimePoint mLastAnswerAt;
};

/// Owned by one entry instance, bounded by the directory. Learned again after a restart.
struct LoadTable
{
  std::unordered_map<Directory::RouteTag, Load> mByTag;
};

/// \return the upstream's load, zero if nothing is known of it.
Load
LoadOf(const LoadTable& aTable, Directory::RouteTag aTag);

/// Records that the caller confirmed a handshake of the upstream.
void
NoteAnswer(LoadTable& aTable, Directory::RouteTag aTag, Base::TimePoint aNow);

/// Records an opening packet that got no answer in time, and suspends the upstream when they add
/// up.
/// \return true if the upstream is suspended because of it.
bool
NoteUnanswered(LoadTable& aTable, Directory::RouteTag aTag, Base::TimePoint aNow);

/// \return true if new flows should go elsewhere because the upstream does not answer.
bool
IsSuspended(const Load& aLoad, Base::TimePoint aNow);

} // namespace Steering

#include "steering/loadtable.h"

#include <algorithm>
#include <chrono>

namespace Steering {

namespace {

using std::chrono::milliseconds;

/// One repeated opening packet may be a lost datagram.
constexpr uint32_t kUnansweredToSuspend = 2;
constexpr milliseconds kFirstSuspension{ 1000 };
constexpr milliseconds kMaxSuspension{ 8000 };
/// Own answers that are newer than this weigh more than the peers' reports.
constexpr milliseconds kAnswerTrust{ 1000 };
constexpr uint32_t kMaxDoublings = 3;

} // namespace

Load
LoadOf(const LoadTable& aTable, Directory::RouteTag aTag)
{
  const auto found = aTable.mByTag.find(aTag);
  return found == aTable.mByTag.end() ? Load() : found->second;
}

void
NoteAnswer(LoadTable& aTable, Directory::RouteTag aTag, Base::TimePoint aNow)
{
  Load& load = aTable.mByTag[aTag];
  load.mUnanswered = 0;
  load.mSuspensions = 0;
  load.mSuspendedUntil = Base::TimePoint();
  load.mLastAnswerAt = aNow;
}

bool
NoteUnanswered(LoadTable& aTable, Directory::RouteTag aTag, Base::TimePoint aNow)
{
  Load& load = aTable.mByTag[aTag];
  ++load.mUnanswered;
  if (load.mUnanswered < kUnansweredToSuspend || aNow < load.mSuspendedUntil) {
    return false;
  }
  const uint32_t doublings = std::min(load.mSuspensions, kMaxDoublings);
  const Base::Duration length = kFirstSuspension * (1U << doublings);
  load.mSuspendedUntil = aNow + std::min<Base::Duration>(length, kMaxSuspension);
  ++load.mSuspensions;
  return true;
}

bool
IsSuspended(const Load& aLoad, Base::TimePoint aNow)
{
  if (aNow < aLoad.mSuspendedUntil) {
    return true;
  }
  const bool answersHere = aLoad.mLastAnswerAt != Base::TimePoint() &&
                           aNow - aLoad.mLastAnswerAt < kAnswerTrust;
  return aLoad.mSuspendedByPeers > 0 && !answersHere;
}

} // namespace Steering

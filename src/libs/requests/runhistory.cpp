#include "requests/runhistory.h"

#include <utility>

namespace Requests::Internal {

namespace {

constexpr size_t kMaxGoneRuns = 1024;
// Longer than the time in which members hear of a new member, and than the interval of the notices
// that name a successor.
constexpr std::chrono::seconds kLearnTime{ 6 };
// Calls by then have passed their deadlines and flows their idle time.
constexpr std::chrono::minutes kKeepTime{ 15 };

void
NoteGone(RunHistory& aHistory, const Run& aRun, Base::TimePoint aGoneFrom, Base::TimePoint aNow)
{
  auto& runs = aHistory.mGoneFrom;
  if (runs.size() >= kMaxGoneRuns) {
    for (auto run = runs.begin(); run != runs.end();) {
      run = run->second + kKeepTime <= aNow ? runs.erase(run) : std::next(run);
    }
  }
  if (runs.size() < kMaxGoneRuns) {
    runs[aRun] = aGoneFrom;
  }
}

} // namespace

bool
UpdateRuns(RunHistory& aHistory, const Context& aContext)
{
  std::map<Run, Membership::MemberState> present;
  bool hasChanged = false;
  for (const Membership::Member& member : aContext.mView.mMembers) {
    const Run run{ member.mId, member.mIncarnation };
    hasChanged = hasChanged || aHistory.mMembers.count(run) == 0;
    present[run] = member.mState;
  }
  for (const auto& [run, state] : aHistory.mMembers) {
    if (present.count(run) == 0) {
      hasChanged = true;
      const bool hasSuccessor = state == Membership::MemberState::Leaving;
      const Base::Duration wait = hasSuccessor ? Base::Duration(kLearnTime) : Base::Duration(0);
      NoteGone(aHistory, run, aContext.mNow + wait, aContext.mNow);
    }
  }
  aHistory.mMembers = std::move(present);
  return hasChanged;
}

bool
IsGone(RunHistory& aHistory, const Run& aRun, Base::TimePoint aNow)
{
  const auto known = aHistory.mGoneFrom.find(aRun);
  if (known != aHistory.mGoneFrom.end()) {
    return aNow >= known->second;
  }
  NoteGone(aHistory, aRun, aNow + kLearnTime, aNow);
  // With no room to remember the run it counts as gone: an answer is better than none for ever.
  return aHistory.mGoneFrom.count(aRun) == 0;
}

} // namespace Requests::Internal

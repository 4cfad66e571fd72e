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

/// Cheap to compute, because it is needed at every Tick with all members of the region.
uint64_t
DigestOf(const Membership::View& aView)
{
  constexpr uint64_t kOddFactor = 0x9E3779B97F4A7C15ULL;
  uint64_t digest = 1;
  for (const Membership::Member& member : aView.mMembers) {
    digest = (digest ^ member.mId.mValue) * kOddFactor;
    digest = (digest ^ member.mIncarnation.mValue) * kOddFactor;
    digest = (digest ^ static_cast<uint64_t>(member.mState)) * kOddFactor;
  }
  return digest;
}

} // namespace

bool
UpdateRuns(RunHistory& aHistory, const Context& aContext)
{
  const uint64_t digest = DigestOf(aContext.mView);
  if (digest == aHistory.mDigest) {
    return false;
  }
  aHistory.mDigest = digest;
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

#include "requests/runhistory.h"

#include <utility>

namespace Requests::Internal {

namespace {

constexpr size_t kMaxGoneRuns = 1024;
// Longer than the time until all members learn of a new member, and than the interval between
// succession notices.
constexpr std::chrono::seconds kDiscoveryTime{ 6 };
// After this time all requests have passed their deadlines and flows have exceeded their idle time.
constexpr std::chrono::minutes kGoneRunRetention{ 15 };

void
RecordGone(RunHistory& aHistory, const Run& aRun, Base::TimePoint aGoneAt, Base::TimePoint aNow)
{
  auto& runs = aHistory.mGoneAt;
  if (runs.size() >= kMaxGoneRuns) {
    for (auto run = runs.begin(); run != runs.end();) {
      run = run->second + kGoneRunRetention <= aNow ? runs.erase(run) : std::next(run);
    }
  }
  if (runs.size() < kMaxGoneRuns) {
    runs[aRun] = aGoneAt;
  }
}

/// A cheap hash, because it is computed over all members of the region at every tick.
uint64_t
ComputeDigest(const Membership::View& aView)
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
  const uint64_t digest = ComputeDigest(aContext.mView);
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
      const Base::Duration wait = hasSuccessor ? Base::Duration(kDiscoveryTime) : Base::Duration(0);
      RecordGone(aHistory, run, aContext.mNow + wait, aContext.mNow);
    }
  }
  aHistory.mMembers = std::move(present);
  return hasChanged;
}

bool
IsRunGone(RunHistory& aHistory, const Run& aRun, Base::TimePoint aNow)
{
  const auto known = aHistory.mGoneAt.find(aRun);
  if (known != aHistory.mGoneAt.end()) {
    return aNow >= known->second;
  }
  RecordGone(aHistory, aRun, aNow + kDiscoveryTime, aNow);
  // If the table is full, the run is considered gone, because otherwise the caller would never get
  // a reply.
  return aHistory.mGoneAt.count(aRun) == 0;
}

} // namespace Requests::Internal

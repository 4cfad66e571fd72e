#pragma once

#include "base/runtimeclock.h"
#include "requests/event.h"

#include <array>
#include <cstdint>
#include <set>
#include <string>

namespace RequestFakes {

/// A deliberate fault, used to test that the checker detects it.
enum class SeededFault
{
  None,
  /// Requests are dispatched without checking the request window.
  NoWindowCheck,
  /// Instances that do not own a flow answer "not run" when its owner is gone.
  NotRunByNonOwner
};

struct Options
{
  uint64_t mSeed = 1;
  Base::Duration mLength = std::chrono::seconds(20);
  uint32_t mInstances = 5;
  uint32_t mUpstreams = 3;
  uint32_t mCallers = 10;
  uint32_t mLossPermille = 20;
  uint32_t mDuplicatePermille = 30;
  /// Packets that are delayed by up to 2 s, which also reorders them.
  uint32_t mLatePermille = 20;
  /// Applies loss and delay to packets between instances and upstreams too. The scheduler then
  /// sometimes considers an upstream hung and refuses many requests, so fewer are checked.
  bool mHasUpstreamLoss = true;
  uint32_t mShedPermille = 50;
  uint32_t mCancelPermille = 50;
  uint32_t mCallerRestartPermille = 30;
  Base::Duration mMinDeadline = std::chrono::milliseconds(300);
  bool mHasCrashes = true;
  bool mHasLeaves = true;
  bool mHasPartitions = true;
  SeededFault mFault = SeededFault::None;
};

/// Outcomes seen by the callers and violations found by the checker.
struct Result
{
  uint64_t mRequests = 0;
  uint64_t mAnswered = 0;
  uint64_t mNotRun = 0;
  uint64_t mUnknown = 0;
  uint64_t mFlowGone = 0;
  /// Requests whose caller received nothing before the deadline.
  uint64_t mSilent = 0;
  uint64_t mRepeatedRuns = 0;
  uint64_t mCrashes = 0;
  uint64_t mLeaves = 0;
  uint64_t mUndrainedLeaves = 0;
  uint64_t mPartitions = 0;
  std::array<uint64_t, static_cast<size_t>(Requests::Event::Count)> mEvents{};
  std::set<std::string> mViolations;
};

/// Simulates instances with the production request code, upstreams and callers over an unreliable
/// network. The same options give the same result.
Result
RunFakes(const Options& aOptions);

} // namespace RequestFakes

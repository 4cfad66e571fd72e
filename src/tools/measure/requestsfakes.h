#pragma once

#include "base/runtimeclock.h"
#include "requests/event.h"

#include <array>
#include <cstdint>
#include <set>
#include <string>

namespace RequestFakes {

/// A fault that is built into the run to show that the checker finds it.
enum class SeededFault
{
  None,
  /// Requests are dispatched without a look at the window.
  NoWindowCheck,
  /// Instances that do not own a flow say "not run" when its owner is gone.
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
  /// Packets delayed by up to 2 s, so that they are also reordered.
  uint32_t mLatePermille = 20;
  /// Packets between instances and upstreams are lost and delayed as well. The scheduler then takes
  /// an upstream for hung now and then and refuses much, which leaves less work to check.
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

/// What the callers saw and what the checker found.
struct Result
{
  uint64_t mRequests = 0;
  uint64_t mAnswered = 0;
  uint64_t mNotRun = 0;
  uint64_t mUnknown = 0;
  uint64_t mFlowGone = 0;
  /// Callers that heard nothing until their deadline.
  uint64_t mSilent = 0;
  uint64_t mRepeatedRuns = 0;
  uint64_t mCrashes = 0;
  uint64_t mLeaves = 0;
  uint64_t mUndrainedLeaves = 0;
  uint64_t mPartitions = 0;
  std::array<uint64_t, static_cast<size_t>(Requests::Event::Count)> mEvents{};
  std::set<std::string> mViolations;
};

/// Runs several instances with the request code, upstreams and callers over a fake network. The
/// same options give the same result.
Result
RunFakes(const Options& aOptions);

} // namespace RequestFakes

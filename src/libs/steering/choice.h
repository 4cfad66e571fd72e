#pragma once

#include "base/random.h"
#include "directory/mergeddirectory.h"
#include "steering/loadtable.h"

#include <string>
#include <vector>

namespace Steering {

/// What the choice of an upstream looks at.
struct ChoiceInput
{
  const Directory::MergedDirectory& mDirectory;
  const LoadTable& mLoads;
  const std::string& mService;
  const std::string& mAvailabilityZone;
  /// Upstreams that the flow has already been offered to.
  const std::vector<Directory::RouteTag>& mExcluded;
  Base::Duration mLease;
  Base::TimePoint mNow;
};

/// Outcome of a choice, with the figures that decided it.
struct Choice
{
  /// Null if the service has no usable upstream.
  const Directory::MergedUpstream* mUpstream = nullptr;
  size_t mCandidates = 0;
  /// Flows with work in progress at the chosen upstream.
  uint32_t mOutstanding = 0;
};

/// Chooses the upstream of a new flow: among a few drawn ones, the one with the least work for its
/// slots. Upstreams of other availability zones compete with the cost of the longer way; those with
/// a lapsed lease or without answers are used only when no others are left. Draining ones are never
/// used.
Choice
ChooseUpstream(const ChoiceInput& aInput, Base::RandomSource& aRandom);

} // namespace Steering

#pragma once

#include "base/random.h"
#include "directory/mergeddirectory.h"
#include "steering/loadtable.h"

#include <string>
#include <vector>

namespace Steering {

/// Input for the choice of an upstream.
struct ChoiceInput
{
  const Directory::MergedDirectory& mDirectory;
  const LoadTable& mLoads;
  const std::string& mService;
  const std::string& mAvailabilityZone;
  /// Upstreams that the flow's opening packet was already forwarded to.
  const std::vector<Directory::RouteTag>& mExcluded;
  Base::Duration mLease;
  Base::TimePoint mNow;
};

/// Chosen upstream and the values that the choice was based on, for the event log.
struct Choice
{
  /// nullptr if the service has no usable upstream.
  const Directory::MergedUpstream* mUpstream = nullptr;
  size_t mCandidates = 0;
  /// Flows with requests in progress at the chosen upstream.
  uint32_t mOutstanding = 0;
};

/// Chooses the upstream of a new flow: samples a few upstreams at random and takes the one with the
/// fewest outstanding flows per slot. Upstreams in remote availability zones get a cost penalty.
/// Upstreams whose lease has expired or that do not answer are used only if there are no others.
/// Draining upstreams are never used.
Choice
ChooseUpstream(const ChoiceInput& aInput, Base::RandomSource& aRandom);

} // namespace Steering

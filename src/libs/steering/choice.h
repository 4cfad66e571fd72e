#pragma once

#include "base/random.h"
#include "directory/mergeddirectory.h"
#include "steering/coldstart.h"
#include "steering/evacuations.h"
#include "steering/evenload.h"
#include "steering/loadtable.h"
#include "steering/outliers.h"

#include <string>
#include <vector>

namespace Steering {

/// Input for the choice of an upstream.
struct ChoiceInput
{
  const Directory::MergedDirectory& mDirectory;
  const LoadTable& mLoads;
  const Evacuations& mEvacuations;
  const std::string& mService;
  const std::string& mAvailabilityZone;
  /// Upstreams that the flow's opening packet was already forwarded to.
  const std::vector<Directory::RouteTag>& mExcluded;
  Base::Duration mLease;
  Base::TimePoint mNow;
  /// Entry instances of the availability zone as listed by the control instances, including this
  /// one, for the limits on flows. mPosition counts those with a current report.
  size_t mInstances = 1;
  /// True if the flow can't meet its latency objective any more. It leaves room for others.
  bool mIsLate = false;
  /// nullptr if no service has a rate limit for cold upstreams.
  const ColdStarts* mColdStarts = nullptr;
  /// This instance among the live ones of the availability zone. If it has a subset of the
  /// upstreams, they are tried first.
  ZonePosition mPosition;
  /// Expected share of the flows reported by peers that are still in progress.
  double mReportWeight = 1;
  /// Upstreams that are ejected because they do not answer requests.
  EjectionView mEjections = {};
};

/// Chosen upstream and the values that the choice was based on, for the event log.
struct Choice
{
  /// nullptr if the service has no usable upstream or no upstream has room.
  const Directory::MergedUpstream* mUpstream = nullptr;
  /// True if local upstreams were excluded because their availability zone is evacuated.
  bool mIsDiverted = false;
  /// True if there are responsive upstreams, but this instance may not give them more work now.
  bool mSaturated = false;
  /// Flows that this instance has at local upstreams, those of its peers, and the number that this
  /// instance may always have. Set if there are responsive upstreams. If all of them are remote,
  /// the values are those of the remote upstreams.
  uint32_t mOwnFlows = 0;
  uint32_t mPeerFlows = 0;
  uint32_t mOwnLimit = 0;
  /// Flows that all instances of the zone together may have there if each uses its share.
  uint32_t mZoneLimit = 0;
  /// Flows that this instance has at remote upstreams, and the number that it may have there while
  /// there are responsive local ones. Otherwise, the values above apply to the remote upstreams.
  uint32_t mRemoteFlows = 0;
  uint32_t mRemoteLimit = 0;
  size_t mCandidates = 0;
  /// Cold upstreams that were excluded because this instance may not send to them now.
  size_t mColdLimited = 0;
  /// Flows with requests in progress at the chosen upstream.
  uint32_t mOutstanding = 0;
};

/// Chooses the upstream of a new flow: samples a few upstreams at random and takes the one with the
/// fewest outstanding flows per slot. Upstreams in remote availability zones get a cost penalty.
/// Upstreams whose lease has expired or that do not answer are used only if there are no others.
/// Draining upstreams and those of an evacuated availability zone are never used. A zone under slow
/// start is left out of some choices, unless no other upstream is responsive and has room. Cold
/// upstreams with a rate limit are used only if this instance may send to them now; if there are no
/// others, the service is saturated.
///
/// With several instances in the availability zone and reports that are old compared with the
/// requests, each instance first uses its own subset of the upstreams, whose load it knows best,
/// and samples only if the subset has no slot that is free of own flows.
///
/// The upstreams of the availability zone take at most as many flows as they have slots, as far as
/// the load reports tell. Reports lag, so each instance may exceed that up to its share. Without
/// this limit, a herd of callers fills the upstreams' queues, and all requests become late. If
/// there are only remote upstreams, the same limit applies to the zone's share of their slots.
Choice
ChooseUpstream(const ChoiceInput& aInput, Base::RandomSource& aRandom);

} // namespace Steering

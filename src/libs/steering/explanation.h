#pragma once

#include "steering/steering.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace Steering {

/// What an instance knows about a flow.
struct KnownFlow
{
  bool mHasRecord = false;
  /// True if the caller has completed the handshake. Until then, mTag is the upstream that the
  /// latest opening packet was forwarded to.
  bool mIsConfirmed = false;
  /// True if the opening packet waits for room.
  bool mIsHeld = false;
  std::optional<Directory::RouteTag> mPinnedTag;
  /// True if the instance has kept the upstream of the flow without a record.
  bool mIsCached = false;
  /// Tag of the upstream that the flow's packets go to, or 0 if their own tag decides.
  Directory::RouteTag mTag;
  /// The upstream of mTag, or std::nullopt if it is not in the directory.
  std::optional<Directory::Upstream> mUpstream;
};

/// An availability zone with upstreams of a service.
struct ZoneExplanation
{
  std::string mName;
  /// True for the zone of this instance.
  bool mIsOwn = false;
  bool mIsEvacuated = false;
  /// True if the zone as a whole does not answer.
  bool mIsSuspended = false;
  /// Share of the new flows that may go to the zone. Below 1 while the zone is under slow start.
  double mShareOfNewFlows = 1;
};

/// How the choice treats an upstream of the service.
enum class CandidateGroup
{
  Healthy,
  /// Used only if no upstream is healthy.
  Unresponsive,
  /// The flow's opening packet was already forwarded to it.
  AlreadyTried,
  /// Cold, and this instance may not send to it now.
  ColdLimited,
  /// Draining, or in an evacuated availability zone.
  Excluded
};

const char*
ToString(CandidateGroup aGroup);

struct CandidateExplanation
{
  Directory::RouteTag mTag;
  Directory::Upstream mUpstream;
  Load mLoad;
  CandidateGroup mGroup = CandidateGroup::Excluded;
  /// Compared between the sampled upstreams of a group: the lowest is chosen. std::nullopt for an
  /// upstream that is cold-limited or excluded.
  std::optional<double> mCost;
  bool mIsCold = false;
  /// New flows per second that all instances together may send to it while it is cold.
  std::optional<double> mColdLimit;
  bool mLeaseExpired = false;
  /// True if the upstream itself does not answer.
  bool mIsSuspended = false;
  /// True if the upstream is ejected, or gets only probes that this flow may not be.
  bool mIsEjected = false;
  /// Draws that chose the upstream.
  size_t mDraws = 0;
};

/// Flows and limits that tell whether the responsive upstreams of a service have room. The members
/// have the same meaning as those of Choice.
struct RoomExplanation
{
  uint32_t mOwnFlows = 0;
  uint32_t mPeerFlows = 0;
  uint32_t mOwnLimit = 0;
  uint32_t mZoneLimit = 0;
  uint32_t mRemoteFlows = 0;
  uint32_t mRemoteLimit = 0;
};

/// A service of the route with a weight above 0.
struct ServiceExplanation
{
  WeightedService mService;
  std::vector<ZoneExplanation> mZones;
  /// In the order of availability zone, id and start.
  std::vector<CandidateExplanation> mCandidates;
  /// std::nullopt if no upstream of the service is responsive.
  std::optional<RoomExplanation> mRoom;
};

/// Number of draws from which the shares of the candidates are determined.
constexpr size_t kExplainedDraws = 100;

/// Where an opening packet of a flow would go now, and the values that this depends on.
struct Explanation
{
  bool mIsReady = false;
  FlowKey mFlow;
  uint64_t mConfigVersion = 0;
  /// Time since the last reply of a control instance that is connected to the leader of the log, or
  /// std::nullopt if there was none.
  std::optional<Base::Duration> mControlAge;
  std::optional<Route> mRoute;
  KnownFlow mKnown;
  std::vector<ServiceExplanation> mServices;
  /// Decision with the next random numbers of the instance. If the flow's opening packet was
  /// forwarded but the flow is not open yet, it is the one on the next copy of that packet.
  Decision mDecision;
  /// Draws out of kExplainedDraws that forward the packet.
  size_t mForwardedDraws = 0;
};

/// Explains where a flow would go, with the functions that decide about packets. Does not change
/// the state: the random numbers come from a copy of its source.
Explanation
Explain(const State& aState, const Settings& aSettings, const FlowKey& aFlow, Base::TimePoint aNow);

} // namespace Steering

#pragma once

#include "base/endpoint.h"
#include "base/ids.h"
#include "base/runtimeclock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Membership {

enum class MemberState
{
  Alive,
  /// Hands over its work and accepts no new flows.
  Leaving
};

/// An entry instance of this region.
struct Member
{
  Base::InstanceId mId;
  std::string mAvailabilityZone;
  Base::Incarnation mIncarnation;
  Base::Endpoint mPeerEndpoint;
  MemberState mState = MemberState::Alive;
  Base::ConfigVersion mVersionInForce;
  /// Set while the member is leaving.
  Base::InstanceId mSuccessor;
};

enum class UpstreamState
{
  Active,
  Draining
};

/// An upstream of this region with a valid lease.
struct Upstream
{
  Base::Endpoint mEndpoint;
  std::string mAvailabilityZone;
  std::string mService;
  Base::ServiceGeneration mGeneration;
  uint64_t mStartId = 0;
  UpstreamState mState = UpstreamState::Active;
  /// Share of the new flows that may go to the upstream because of its availability zone: 0 while
  /// the zone is evacuated, and less than 1 during its slow start. Flows that are open stay.
  double mNewWorkShare = 1;
  /// Maximum number of concurrent requests.
  uint32_t mSlots = 1;
  /// Reported number of running requests.
  uint32_t mLoad = 0;
  /// No packet is sent to it before this time, see the address reuse rule in docs/design.md.
  Base::TimePoint mUsableFrom;
  Base::TimePoint mLeaseEnd;
  /// First announcement of this start. The slow start begins 6 s later, when the first packet is
  /// allowed.
  Base::TimePoint mStartedAt;
  /// Time of the last load report. Up to date only on the dispatcher and the lease holder of the
  /// upstream.
  Base::TimePoint mLoadAt;
};

/// An instance that left gracefully. Only its successor accepts its tickets.
struct Departed
{
  Base::InstanceId mId;
  Base::Incarnation mIncarnation;
  Base::InstanceId mSuccessor;
};

/// Snapshot of a region as known to one instance: the instances over which the fabric distributes
/// packets, and their upstreams. Immutable once published.
struct View
{
  Base::InstanceId mSelf;
  std::string mAvailabilityZone;
  Base::Incarnation mIncarnation;
  /// Ordered by id, including this instance.
  std::vector<Member> mMembers;
  /// Ordered by endpoint.
  std::vector<Upstream> mUpstreams;
  /// Instances that left, oldest first, at most kMaxDeparted.
  std::vector<Departed> mDeparted;
};

/// \return the member with this id, or nullptr.
const Member*
FindMember(const View& aView, Base::InstanceId aId);

/// \return the upstream with this endpoint in this service generation, or nullptr.
const Upstream*
FindUpstream(const View& aView,
             const Base::Endpoint& aEndpoint,
             Base::ServiceGeneration aGeneration);

/// Selects a member by rendezvous hashing, so that all instances with the same members agree
/// without communication.
/// \param aKey is hashed with each member's id.
/// \return the selected member, or nullptr if no member is alive.
const Member*
RendezvousMember(const View& aView, uint64_t aKey);

/// Selects the instance that dispatches to an upstream. Prefers instances in the availability zone
/// of the upstream, so that the upstream stays usable while its zone is partitioned from the
/// others.
/// \return the dispatcher, or nullptr if no member is alive.
const Member*
DispatcherOf(const View& aView, const Upstream& aUpstream);

/// \return true if new work may be sent to the upstream now.
bool
TakesNewWork(const Upstream& aUpstream, Base::TimePoint aNow);

/// \return true if packets of established flows may be sent to the upstream now.
bool
IsUsable(const Upstream& aUpstream, Base::TimePoint aNow);

} // namespace Membership

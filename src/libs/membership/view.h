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
  /// Hands its work over and takes no new flows.
  Leaving
};

/// An entry instance of the own region.
struct Member
{
  Base::InstanceId mId;
  std::string mAvailabilityZone;
  Base::Incarnation mIncarnation;
  Base::Endpoint mPeerEndpoint;
  MemberState mState = MemberState::Alive;
  Base::ConfigVersion mVersionInForce;
  /// Set while the member leaves.
  Base::InstanceId mSuccessor;
};

enum class UpstreamState
{
  Active,
  Draining
};

/// An upstream of the own region with a running lease.
struct Upstream
{
  Base::Endpoint mEndpoint;
  std::string mAvailabilityZone;
  std::string mService;
  Base::ServiceGeneration mGeneration;
  uint64_t mStartId = 0;
  UpstreamState mState = UpstreamState::Active;
  /// Requests that it runs at the same time.
  uint32_t mSlots = 1;
  /// Requests that it runs now, as it reports.
  uint32_t mLoad = 0;
  /// It gets no packet before this time, see the address reuse rule in docs/design.md.
  Base::TimePoint mUsableFrom;
  Base::TimePoint mLeaseEnd;
  /// First announcement of this start. The slow start of a cold upstream begins 6 s later, when the
  /// first packet is allowed.
  Base::TimePoint mStartedAt;
  /// When mLoad was reported. Current at the upstream's dispatcher and its lease holder only.
  Base::TimePoint mLoadAt;
};

/// An instance that left gracefully. Only its successor accepts its tickets.
struct Departed
{
  Base::InstanceId mId;
  Base::Incarnation mIncarnation;
  Base::InstanceId mSuccessor;
};

/// What an instance knows of its region: the instances that the fabric sprays over, and their
/// upstreams. Immutable once published.
struct View
{
  Base::InstanceId mSelf;
  std::string mAvailabilityZone;
  Base::Incarnation mIncarnation;
  /// Members by id, the own instance included.
  std::vector<Member> mMembers;
  /// Upstreams by endpoint.
  std::vector<Upstream> mUpstreams;
  /// Instances that left, oldest first; bounded.
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

/// Selects by rendezvous hash, so that all instances with the same members agree without messages.
/// \param aKey is hashed with each member's id.
/// \return the selected alive member, or nullptr if there is none.
const Member*
RendezvousMember(const View& aView, uint64_t aKey);

/// Selects the instance that dispatches to an upstream. It is one of the upstream's availability
/// zone if any is alive there, so that the upstream can be used while its availability zone is cut
/// off. \return the dispatcher, or nullptr if no member is alive.
const Member*
DispatcherOf(const View& aView, const Upstream& aUpstream);

/// \return true if new work may be sent to the upstream now.
bool
TakesNewWork(const Upstream& aUpstream, Base::TimePoint aNow);

/// \return true if packets of established flows may be sent to the upstream now.
bool
IsUsable(const Upstream& aUpstream, Base::TimePoint aNow);

} // namespace Membership

#pragma once

#include "membership/state.h"

#include <set>

namespace Membership {

enum class AnnounceOutcome
{
  Accepted,
  /// The instance joins or leaves; the upstream must try another one.
  Unavailable,
  /// A newer announcement of the address is known.
  Stale,
  /// The address has a live lease in another service.
  AddressInUse
};

struct AnnounceResult
{
  AnnounceOutcome mOutcome = AnnounceOutcome::Accepted;
  /// Time until the lease ends unless renewed.
  Base::Duration mLease = Base::Duration::zero();
  Outbox mOutbox;
};

/// Takes in an announcement, renewal, drain or leave. A change makes this instance the lease
/// holder; a plain renewal goes to the present holder.
AnnounceResult
Announce(State& aState,
         const Settings& aSettings,
         const Announcement& aAnnouncement,
         Base::TimePoint aNow);

/// Takes in a renewal that another instance passed on.
/// \param aArrival is when it arrived, or earlier by the time that the datagram was queued.
void
ApplyRenewal(State& aState,
             const Settings& aSettings,
             const lw::membership::Renewal& aRenewal,
             Base::TimePoint aArrival);

/// Marks own claims whose renewals are overdue and releases expired ones. Must run before each
/// message with a digest, because a digest vouches for the claims that are not overdue.
void
UpdateOwnClaims(State& aState, const Settings& aSettings, Base::TimePoint aNow);

/// Takes over the leases of upstreams that renew through this instance while their holder is
/// silent, without waiting for the next call.
void
TakeOverSilentLeases(State& aState, const Settings& aSettings, Base::TimePoint aNow);

/// Releases own claims that lose against a claim in another member's record.
void
ResolveConflicts(State& aState, Base::InstanceId aOther, Base::TimePoint aNow);

/// Releases own claims of services that the configuration no longer has.
void
KeepServices(State& aState,
             const std::set<Base::ServiceGeneration>& aGenerations,
             Base::TimePoint aNow);

/// \return the member that receives the load reports of an upstream that announces itself here.
/// Selects the same member as DispatcherOf on the view.
Base::InstanceId
LoadReceiver(const State& aState, const Base::Endpoint& aUpstream);

} // namespace Membership

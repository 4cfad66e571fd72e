#pragma once

#include "membership/state.h"

#include <set>

namespace Membership {

enum class AnnounceOutcome
{
  Accepted,
  /// The instance is joining or leaving. The upstream must try another one.
  Unavailable,
  /// A newer announcement of the address is known.
  Stale,
  /// The address has a valid lease in another service.
  AddressInUse
};

struct AnnounceResult
{
  AnnounceOutcome mOutcome = AnnounceOutcome::Accepted;
  /// Time until the lease ends unless renewed.
  Base::Duration mLease = Base::Duration::zero();
  Outbox mOutbox;
};

/// Processes an announcement, renewal, drain or leave. A change makes this instance the lease
/// holder. A renewal without changes is forwarded to the current holder.
AnnounceResult
Announce(State& aState,
         const Settings& aSettings,
         const Announcement& aAnnouncement,
         Base::TimePoint aNow);

/// Processes a renewal that another instance forwarded.
/// \param aArrival is the time of arrival minus the queueing delay of the datagram.
void
ApplyRenewal(State& aState,
             const Settings& aSettings,
             const lw::membership::Renewal& aRenewal,
             Base::TimePoint aArrival);

/// Marks own claims whose renewals are overdue and releases expired ones. Call this before each
/// message with a digest, because a digest extends the leases of all claims that are not overdue.
void
UpdateOwnClaims(State& aState, const Settings& aSettings, Base::TimePoint aNow);

/// Takes over the leases of upstreams that renew through this instance while their holder does not
/// respond, without waiting for the next call.
void
TakeOverFromUnresponsiveHolders(State& aState, const Settings& aSettings, Base::TimePoint aNow);

/// Releases own claims that lose against a claim in the record of another member.
void
ResolveConflicts(State& aState, Base::InstanceId aOther, Base::TimePoint aNow);

/// Releases own claims of services that are no longer in the configuration.
void
ReleaseRemovedServices(State& aState,
                       const std::set<Base::ServiceGeneration>& aGenerations,
                       Base::TimePoint aNow);

/// \return the member that receives the load reports of an upstream that announces itself to this
/// instance. Selects the same member as DispatcherOf() on the view.
Base::InstanceId
LoadReceiver(const State& aState, const Base::Endpoint& aUpstream);

} // namespace Membership

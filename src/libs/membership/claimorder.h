#pragma once

#include "membership/state.h"

#include <vector>

namespace Membership {

/// A claim and the record that holds it; no holder for an orphan.
struct ClaimRef
{
  const Claim* mClaim = nullptr;
  const Record* mHolder = nullptr;
};

/// What all claims of one address amount to at one instance.
struct Verdict
{
  /// The claim that counts, or none.
  ClaimRef mBest;
  Base::TimePoint mStartedAt;
  Base::TimePoint mLeaseEnd;
  /// The address is bound to the service of mBest now.
  bool mBlocking = false;
};

/// \return all claims, sorted by address.
std::vector<ClaimRef>
SortedClaims(const State& aState);

/// \return the claims of one address.
std::vector<ClaimRef>
ClaimsOf(const State& aState, const Base::Endpoint& aEndpoint);

/// Decides between claims of one address. Within a service the newest announcement counts. Between
/// services the earlier claim counts while its lease lives.
Verdict
Decide(const ClaimRef* aFirst, const ClaimRef* aEnd, Base::TimePoint aNow);

/// \return true if the left claim is a newer announcement of the same service than the right one.
bool
IsNewerAnnouncement(const ClaimRef& aLeft, const ClaimRef& aRight);

} // namespace Membership

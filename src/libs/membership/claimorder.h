#pragma once

#include "membership/state.h"

#include <vector>

namespace Membership {

/// A claim and the record that contains it. Orphaned claims have no holder.
struct ClaimRef
{
  const Claim* mClaim = nullptr;
  const Record* mHolder = nullptr;
};

/// Result of resolving all claims of one address as known to one instance.
struct ClaimResolution
{
  /// The winning claim, or none.
  ClaimRef mBest;
  Base::TimePoint mStartedAt;
  Base::TimePoint mLeaseEnd;
  /// The address is currently reserved for the service of mBest.
  bool mBlocking = false;
};

/// \return all claims, sorted by address.
std::vector<ClaimRef>
SortedClaims(const State& aState);

/// \return the claims of one address.
std::vector<ClaimRef>
ClaimsOf(const State& aState, const Base::Endpoint& aEndpoint);

/// Resolves the claims of one address. Within a service the newest announcement wins. Between
/// services the earlier claim wins while its lease is valid.
ClaimResolution
ResolveClaims(const ClaimRef* aFirst, const ClaimRef* aEnd, Base::TimePoint aNow);

/// \return true if aLeft is a newer announcement than aRight. Both must be of the same service.
bool
IsNewerAnnouncement(const ClaimRef& aLeft, const ClaimRef& aRight);

} // namespace Membership

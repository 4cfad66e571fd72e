#pragma once

#include "membership/state.h"

#include <vector>

namespace Membership {

/// Limit of entries in one digest. In larger regions a digest contains the members with the newest
/// heartbeats, which the receiver most likely lacks. The other members appear in the digests of
/// instances that received a later heartbeat of them.
constexpr size_t kMaxDigestEntries = 250;

/// Adds a digest of this instance and the members with the newest heartbeats to a message.
void
AddFullDigest(const State& aState, Base::TimePoint aNow, lw::membership::Message& aMessage);

/// Adds a digest of this instance only.
void
AddOwnDigest(const State& aState, lw::membership::Message& aMessage);

/// Result of applying a received digest.
struct DigestResult
{
  bool mValid = true;
  /// For every member in the digest, the local copy has all claims up to the counter of its header.
  bool mAllComplete = true;
  /// Records whose versions differ between sender and receiver.
  std::vector<Base::InstanceId> mDiffering;
  /// Members that are dead for this instance but alive for the sender.
  std::vector<Base::InstanceId> mLocallyDead;
};

/// Merges the heartbeats of a digest and extends the leases that they cover.
/// \param aArrival is the time of arrival minus the queueing delay of the datagram.
DigestResult
ApplyDigest(State& aState,
            const Settings& aSettings,
            const lw::membership::Message& aMessage,
            Base::TimePoint aArrival);

} // namespace Membership

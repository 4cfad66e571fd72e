#pragma once

#include "membership/state.h"

#include <vector>

namespace Membership {

/// Most entries of one digest. Larger availability zones send a part of their members in turn.
constexpr size_t kMaxDigestEntries = 250;

/// Adds the digest of the own instance and all members with a recent beat to a message.
/// \param aStart selects the part that is sent if there are too many members.
void
AddFullDigest(const State& aState,
              uint64_t aStart,
              Base::TimePoint aNow,
              lw::membership::Message& aMessage);

/// Adds a digest of the own instance only.
void
AddOwnDigest(const State& aState, lw::membership::Message& aMessage);

/// What a received digest tells.
struct DigestResult
{
  bool mValid = true;
  /// Every member of the digest is known here with all claims that its header promised.
  bool mAllCopied = true;
  /// Records of which the two sides have different versions.
  std::vector<Base::InstanceId> mDiffering;
  /// Members that are dead here but not for the sender.
  std::vector<Base::InstanceId> mDeadHere;
};

/// Takes over the beats of a digest and extends the leases that they vouch for.
/// \param aArrival is the time of arrival, or earlier by the time that the datagram was queued.
DigestResult
ApplyDigest(State& aState,
            const Settings& aSettings,
            const lw::membership::Message& aMessage,
            Base::TimePoint aArrival);

} // namespace Membership

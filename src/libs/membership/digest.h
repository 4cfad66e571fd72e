#pragma once

#include "membership/state.h"

#include <vector>

namespace Membership {

/// Most entries of one digest. With more members it names those with the newest beats, which the
/// receiver most likely lacks; all others are named by members that have heard of them later.
constexpr size_t kMaxDigestEntries = 250;

/// Adds the digest of the own instance and the members with the newest beats to a message.
void
AddFullDigest(const State& aState, Base::TimePoint aNow, lw::membership::Message& aMessage);

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

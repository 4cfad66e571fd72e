#pragma once

#include "base/endpoint.h"
#include "base/ids.h"
#include "base/runtimeclock.h"
#include "membership/view.h"

#include "membership.pb.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Membership {

/// Times and limits of the protocol. The defaults meet the requirements in docs/design.md; all
/// instances of a region must use the same lease, coverage and hold.
struct Settings
{
  std::vector<Base::Endpoint> mSeeds;
  Base::Duration mGossipInterval = std::chrono::milliseconds(180);
  Base::Duration mProbeInterval = std::chrono::seconds(1);
  /// A probe without an answer becomes indirect after this time.
  Base::Duration mDirectTimeout = std::chrono::milliseconds(250);
  /// A probe without any answer leads to suspicion after this time.
  Base::Duration mProbeTimeout = std::chrono::milliseconds(500);
  Base::Duration mSuspicion = std::chrono::seconds(3);
  /// A member without a beat for this time is probed at once. Together with the probe timeout and
  /// the suspicion this bounds detection to about 5 s.
  Base::Duration mStaleBeat = std::chrono::milliseconds(1500);
  Base::Duration mLease = std::chrono::seconds(5);
  /// A beat vouches for upstreams that renewed within this time, so it extends their leases by
  /// mLease - mCoverage. It allows for half a renewal interval of delay.
  Base::Duration mCoverage = std::chrono::milliseconds(1500);
  /// An instance without an answer from any seed accepts announcements after this time.
  Base::Duration mJoinWait = std::chrono::seconds(2);
  /// Payload of one datagram, in bytes. Stays below an MTU of 1500 with all headers.
  size_t mMaxPayload = 1200;
};

/// Lease plus a margin of 1 s for delays in dissemination. Each start of an upstream waits for it,
/// also within one service: starts on one address follow each other, so the last use of one, at
/// most a lease after its last call, always precedes the first use of the next one. Carrying a hold
/// over to the next start failed when a process of another service ran in between on the other side
/// of a partition.
constexpr Base::Duration kHold = std::chrono::seconds(6);

enum class ClaimState
{
  Active,
  Draining,
  Left,
  Released
};

/// An upstream in the record of its lease holder. Written by the holder only, apart from the times,
/// which each instance keeps by its own clock. Ends with the lease, also when the holder fails.
struct Claim
{
  uint32_t mCounter = 0;
  Base::Endpoint mEndpoint;
  /// That of the holder, because upstreams announce themselves in their own availability zone.
  std::string mAvailabilityZone;
  std::string mService;
  Base::ServiceGeneration mGeneration;
  uint64_t mStartId = 0;
  uint64_t mSequence = 0;
  ClaimState mState = ClaimState::Active;
  bool mOverdue = false;
  uint32_t mSlots = 1;
  uint32_t mLoad = 0;
  Base::TimePoint mLoadAt;
  /// First announcement of this start into this service; the hold runs from it.
  Base::TimePoint mStartedAt;
  Base::TimePoint mLeaseEnd;
  /// At the holder: last renewal. Elsewhere: when this instance learned of the last change.
  Base::TimePoint mRenewedAt;
  /// At the holder: the sequence in the last change that was disseminated.
  uint64_t mPublishedSequence = 0;
};

enum class Health
{
  Alive,
  Suspect,
  Dead
};

/// One instance's copy of the record of a member. Written by that member, copied by gossip. Dead
/// records are kept for contact after a partition, up to kMaxDeadRecords, oldest dropped first.
struct Record
{
  Base::InstanceId mId;
  Base::Incarnation mIncarnation;
  uint32_t mEpoch = 0;
  /// The copy of the claims is complete up to this counter.
  uint32_t mCopied = 0;
  /// Highest counter seen in a header.
  uint32_t mNewest = 0;
  /// Removals of claims are known here up to this counter. At least mCopied; larger while a copy is
  /// replaced in parts.
  uint32_t mRemovals = 0;
  /// Claims removed up to this counter are forgotten here. A copy that does not know the removals
  /// up to it must be replaced as a whole.
  uint32_t mFloor = 0;
  lw::membership::InstanceState mState = lw::membership::ALIVE;
  Base::InstanceId mSuccessor;
  std::string mAvailabilityZone;
  Base::Endpoint mEndpoint;
  Base::ConfigVersion mVersionInForce;
  std::vector<Claim> mClaims;

  Health mHealth = Health::Alive;
  /// Counter that the suspicion or death refers to; a higher one refutes it.
  uint32_t mHealthCounter = 0;
  Base::TimePoint mHealthSince;
  uint32_t mRumorSends = 0;

  /// Newest sign of life, by the clock of this instance.
  Base::TimePoint mBeat;
  /// Newest beat that belonged to the complete copy; leases run from it.
  Base::TimePoint mLeaseBeat;
  /// Smallest seen difference of this instance's clock and the member's clock.
  std::optional<Base::Duration> mClockOffset;
  Base::TimePoint mClockOffsetAt;

  /// The change after mHotFrom is passed on mHotSends more times, until mHotUntil at the latest.
  uint32_t mHotFrom = 0;
  uint32_t mHotSends = 0;
  Base::TimePoint mHotUntil;
  Base::TimePoint mPulledAt;
  Base::TimePoint mProbedAt;
};

/// A probe that waits for its answer. Owned by the prober and dropped after mProbeTimeout.
struct Probe
{
  uint32_t mSequence = 0;
  Base::InstanceId mTarget;
  Base::TimePoint mSentAt;
  bool mIndirect = false;
};

/// An indirect probe on behalf of another member. Dropped after mProbeTimeout; at most kMaxRelays.
struct RelayedProbe
{
  uint32_t mSequence = 0;
  Base::InstanceId mOrigin;
  uint32_t mOriginSequence = 0;
  Base::TimePoint mSentAt;
};

/// Newest announcement of an address whose claim has ended, so that an older one cannot win later.
/// Local to each instance; kept for kRetiredTime, at most kMaxRetired, oldest dropped first. After
/// a restart the hold time protects instead.
struct RetiredAddress
{
  uint64_t mStartId = 0;
  uint64_t mSequence = 0;
  Base::TimePoint mAt;
};

/// A call of an upstream, already checked against the configuration in force.
struct Announcement
{
  Base::Endpoint mEndpoint;
  std::string mService;
  Base::ServiceGeneration mGeneration;
  uint64_t mStartId = 0;
  uint64_t mSequence = 0;
  /// Active, Draining or Left.
  ClaimState mState = ClaimState::Active;
  uint32_t mSlots = 1;
  uint32_t mLoad = 0;
};

/// A renewal that this instance passed on to the lease holder. Kept for mCoverage, at most one for
/// each upstream, so that this instance can take the lease over if the holder falls silent.
struct PassedRenewal
{
  Announcement mAnnouncement;
  Base::TimePoint mAt;
};

/// Counted events, for the program's counters and the tests.
struct Counts
{
  uint64_t mProbes = 0;
  uint64_t mIndirectProbes = 0;
  uint64_t mSuspicions = 0;
  uint64_t mDeaths = 0;
  uint64_t mRefutations = 0;
  uint64_t mPulls = 0;
  uint64_t mTakeovers = 0;
  uint64_t mOverdue = 0;
  uint64_t mExpired = 0;
  uint64_t mStaleAnnouncements = 0;
  uint64_t mRefusedAddresses = 0;
  uint64_t mForwardedRenewals = 0;
  uint64_t mDelayedDatagrams = 0;
  uint64_t mRejectedMessages = 0;
};

/// All that one instance knows of its region. Owned by the instance and lost with it; a
/// restarted instance gets it again from its peers. Bounded by the members and upstreams of the
/// region and the limits of the parts.
struct State
{
  Base::InstanceId mSelf;
  /// Hash of the region's name; records of other groups are refused.
  uint32_t mGroup = 0;
  Base::TimePoint mStartedAt;
  Base::TimePoint mLastTick;
  bool mReady = false;
  bool mHeardFromReady = false;
  std::map<Base::InstanceId, Record> mRecords;
  /// Claims whose holder died, left or restarted; they end with their leases unless taken over.
  std::vector<Claim> mOrphans;
  std::map<Base::Endpoint, RetiredAddress> mRetired;
  std::map<Base::Endpoint, PassedRenewal> mPassedRenewals;
  std::vector<Departed> mDeparted;
  std::vector<Probe> mProbes;
  std::vector<RelayedProbe> mRelays;
  std::vector<Base::InstanceId> mProbeOrder;
  Base::TimePoint mNextGossip;
  Base::TimePoint mNextProbe;
  Base::TimePoint mNextStaleProbe;
  Base::TimePoint mNextContact;
  uint32_t mNextSequence = 1;
  uint32_t mGossipRound = 0;
  /// Grows with each change of members or claims, but not with the extension of leases.
  uint64_t mRevision = 0;
  Counts mCounts;
};

/// A message that the caller must send.
struct Outgoing
{
  /// 0 if the receiver is known by its seed address only.
  Base::InstanceId mTo;
  Base::Endpoint mEndpoint;
  lw::membership::Message mMessage;
};

using Outbox = std::vector<Outgoing>;

constexpr size_t kMaxDeadRecords = 512;
constexpr size_t kMaxRelays = 64;
constexpr size_t kMaxRetired = 4096;
constexpr size_t kMaxDeparted = 256;
constexpr Base::Duration kRetiredTime = std::chrono::seconds(60);
/// Released and left claims stay in the record for this time, until all instances have seen them.
constexpr Base::Duration kClaimTombstoneTime = std::chrono::seconds(10);

} // namespace Membership

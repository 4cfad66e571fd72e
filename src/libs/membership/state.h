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

/// Times and limits of the protocol. The defaults meet the requirements in docs/design.md. All
/// instances of a region must use the same lease, renewal window and hold-down time.
struct Settings
{
  std::vector<Base::Endpoint> mSeeds;
  Base::Duration mGossipInterval = std::chrono::milliseconds(180);
  Base::Duration mProbeInterval = std::chrono::seconds(1);
  /// A probe without an answer is repeated through other members after this time.
  Base::Duration mDirectTimeout = std::chrono::milliseconds(250);
  /// A probe without a direct or indirect answer leads to a suspicion after this time.
  Base::Duration mProbeTimeout = std::chrono::milliseconds(500);
  Base::Duration mSuspicionTimeout = std::chrono::seconds(3);
  /// A member without a heartbeat for this time is probed at once. Together with the probe timeout
  /// and the suspicion timeout this limits failure detection to about 5 s.
  Base::Duration mStaleHeartbeat = std::chrono::milliseconds(1500);
  Base::Duration mLease = std::chrono::seconds(5);
  /// A heartbeat covers upstreams that renewed within this time before it, so it extends their
  /// leases by mLease - mRenewalWindow. Allows renewals to be late by half a renewal interval.
  Base::Duration mRenewalWindow = std::chrono::milliseconds(1500);
  /// An instance that no seed has answered accepts announcements after this time.
  Base::Duration mJoinWait = std::chrono::seconds(2);
  /// Payload limit of one datagram in bytes. With all headers it stays below an MTU of 1500.
  size_t mMaxPayload = 1200;
};

/// Time from the announcement of an upstream to its first packet: the lease plus a margin of 1 s
/// for dissemination delays. The last use of an upstream, at most one lease after its last call,
/// thus always precedes the first use of the next upstream on the same address. The hold-down
/// applies to each start, also within one service: carrying it over to the next start failed when a
/// process of another service used the address in between on the other side of a partition.
constexpr Base::Duration kHoldDownTime = std::chrono::seconds(6);

enum class ClaimState
{
  Active,
  Draining,
  Left,
  Released
};

/// An upstream in the record of its lease holder. Only the holder changes it, except for the times,
/// which each instance keeps by its own clock. Ends with the lease even if the holder fails.
struct Claim
{
  uint32_t mCounter = 0;
  Base::Endpoint mEndpoint;
  /// Availability zone of the holder, because upstreams announce themselves in their own zone.
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
  /// First announcement of this start in this service, at which the hold-down begins.
  Base::TimePoint mStartedAt;
  Base::TimePoint mLeaseEnd;
  /// On the holder: last renewal. On other instances: arrival of the last change.
  Base::TimePoint mRenewedAt;
  /// On the holder: sequence of the last disseminated change.
  uint64_t mPublishedSequence = 0;
};

enum class Health
{
  Alive,
  Suspect,
  Dead
};

/// Local copy of the record of a member. Only that member changes it, and gossip distributes it.
/// Records of dead members are kept to contact them after a partition, up to kMaxDeadRecords; the
/// oldest are dropped first.
struct Record
{
  Base::InstanceId mId;
  Base::Incarnation mIncarnation;
  uint32_t mEpoch = 0;
  /// The copy of the claims is complete up to this counter.
  uint32_t mCopiedCounter = 0;
  /// Highest counter seen in a header.
  uint32_t mNewestCounter = 0;
  /// Removals of claims are known up to this counter. At least mCopiedCounter, and larger while a
  /// copy is replaced in parts.
  uint32_t mRemovalsCounter = 0;
  /// Tombstones of claims up to this counter were purged. A copy that lacks removals up to this
  /// counter must be replaced as a whole.
  uint32_t mPurgedCounter = 0;
  lw::membership::InstanceState mState = lw::membership::ALIVE;
  Base::InstanceId mSuccessor;
  std::string mAvailabilityZone;
  Base::Endpoint mEndpoint;
  Base::ConfigVersion mVersionInForce;
  std::vector<Claim> mClaims;

  Health mHealth = Health::Alive;
  /// Counter that the suspicion or death refers to. A higher counter refutes it.
  uint32_t mHealthCounter = 0;
  Base::TimePoint mHealthSince;
  uint32_t mRemainingRumorSends = 0;

  /// Time of the newest heartbeat by the clock of this instance.
  Base::TimePoint mLastHeartbeat;
  /// Newest heartbeat that belongs to the version of the local copy. Leases are extended from it.
  Base::TimePoint mLeaseHeartbeat;
  /// Smallest observed difference between the clocks of this instance and of the member.
  std::optional<Base::Duration> mClockOffset;
  Base::TimePoint mClockOffsetAt;

  /// Changes after counter mDisseminateFrom are sent mRemainingSends more times, at most until
  /// mDisseminateUntil.
  uint32_t mDisseminateFrom = 0;
  uint32_t mRemainingSends = 0;
  Base::TimePoint mDisseminateUntil;
  Base::TimePoint mPulledAt;
  Base::TimePoint mProbedAt;
};

/// A probe without an answer so far. Dropped after mProbeTimeout.
struct Probe
{
  uint32_t mSequence = 0;
  Base::InstanceId mTarget;
  Base::TimePoint mSentAt;
  bool mIndirect = false;
};

/// An indirect probe on behalf of another member. Dropped after mProbeTimeout. At most kMaxRelays.
struct RelayedProbe
{
  uint32_t mSequence = 0;
  Base::InstanceId mOrigin;
  uint32_t mOriginSequence = 0;
  Base::TimePoint mSentAt;
};

/// Newest announcement of an address whose claim has ended. Ensures that no older announcement is
/// accepted later. Local to each instance and kept for kRetiredAddressRetention, at most
/// kMaxRetired; the oldest are dropped first. After a restart the hold-down protects the address
/// instead.
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

/// A renewal that this instance forwarded to the lease holder. Kept for mRenewalWindow, at most one
/// per upstream, so that this instance can take over the lease if the holder stops responding.
struct PendingForward
{
  Announcement mAnnouncement;
  Base::TimePoint mAt;
};

/// Event counters for the metrics and the tests.
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

/// State of the region as known to one instance. Not persisted: a restarted instance obtains it
/// from its peers. Bounded by the members and upstreams of the region and the limits below.
struct State
{
  Base::InstanceId mSelf;
  /// Hash of the name of the region. Records of other regions are refused.
  uint32_t mRegionHash = 0;
  Base::TimePoint mStartedAt;
  Base::TimePoint mLastTick;
  bool mReady = false;
  bool mContactedReadyMember = false;
  std::map<Base::InstanceId, Record> mRecords;
  /// Claims whose holder restarted. They end with their leases unless taken over.
  std::vector<Claim> mOrphans;
  std::map<Base::Endpoint, RetiredAddress> mRetired;
  std::map<Base::Endpoint, PendingForward> mPendingForwards;
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
  /// Incremented with each change of members or claims, but not when leases are extended.
  uint64_t mRevision = 0;
  Counts mCounts;
};

/// A message that the caller must send.
struct Outgoing
{
  /// 0 if only the address of the receiver is known.
  Base::InstanceId mTo;
  Base::Endpoint mEndpoint;
  lw::membership::Message mMessage;
};

using Outbox = std::vector<Outgoing>;

constexpr size_t kMaxDeadRecords = 512;
constexpr size_t kMaxRelays = 64;
constexpr size_t kMaxRetired = 4096;
constexpr size_t kMaxDeparted = 256;
constexpr Base::Duration kRetiredAddressRetention = std::chrono::seconds(60);
/// Released and left claims stay in the record for this time, so that all instances see them.
constexpr Base::Duration kClaimTombstoneRetention = std::chrono::seconds(10);

} // namespace Membership

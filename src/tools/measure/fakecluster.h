#pragma once

#include "base/random.h"
#include "placement/control.h"
#include "placement/decision.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

namespace Measure {

using namespace std::chrono_literals;

/// Conditions of a run.
struct ClusterOptions
{
  uint64_t mSeed = 1;
  uint32_t mInstances = 20;
  uint32_t mUpstreams = 14;
  uint32_t mFlows = 2000;
  /// Delay of a message between instances; reordering follows from its spread.
  Base::Duration mMinDelay = 500us;
  Base::Duration mMaxDelay = 3ms;
  /// Part of the messages between instances that are lost.
  double mLoss = 0;
  /// An instance learns of a membership change within this time.
  Base::Duration mMaxViewDelay = 200ms;
  Base::Duration mPacketPause = 100ms;
  Placement::Settings mSettings;
  uint32_t mRecordCapacity = 200000;
};

/// A flow and where its first opening packet went.
struct FakeFlow
{
  Base::Endpoint mCaller;
  uint32_t mPacketsSent = 0;
  /// Upstream that first received an opening packet, for the real placement and for plain hashing.
  std::optional<Base::Endpoint> mBound;
  std::optional<Base::Endpoint> mPlainBound;
  bool mIsBroken = false;
  bool mIsPlainBroken = false;
};

/// Counts of a run.
struct ClusterCounts
{
  uint64_t mPackets = 0;
  uint64_t mBroken = 0;
  uint64_t mPlainBroken = 0;
  /// Packets that reached no upstream: dropped by decision or lost between instances.
  uint64_t mDropped = 0;
  uint64_t mForwarded = 0;
  /// Opening packets of new flows at an upstream more than 3 s after it began to drain.
  uint64_t mLateNewWork = 0;
  /// Packets at an upstream of another service or after its lease.
  uint64_t mMisdelivered = 0;
  /// Bytes of table and record messages by sender.
  std::map<Base::InstanceId, uint64_t> mControlBytes;
};

/// An instance of the fake: the real decision code with one shard.
struct FakeInstance
{
  explicit FakeInstance(uint32_t aRecordCapacity);

  bool mIsRunning = true;
  Membership::View mView;
  /// Newest membership that it has seen; an older one never replaces it.
  uint64_t mMembershipVersion = 0;
  Placement::ServiceControl mControl;
  Placement::Shard mShard;
  struct Held
  {
    Placement::Packet mPacket;
    Base::InstanceId mAsker;
    size_t mFlow = 0;
    Base::TimePoint mSince;
  };
  std::deque<Held> mHeld;
};

/// Several instances and upstreams of one service under a test clock. The random source is seeded,
/// so a run can be repeated.
struct Cluster
{
  struct Event
  {
    Base::TimePoint mAt;
    uint64_t mOrder = 0;
    std::function<void()> mRun;
  };
  struct Later
  {
    bool operator()(const Event& aLeft, const Event& aRight) const
    {
      return aLeft.mAt != aRight.mAt ? aLeft.mAt > aRight.mAt : aLeft.mOrder > aRight.mOrder;
    }
  };

  ClusterOptions mOptions;
  Base::RandomSource mRandom;
  Base::TimePoint mNow;
  Base::ServiceGeneration mGeneration{ 7 };
  Base::Endpoint mService{ 0x0A000001, 443 };
  /// What is true; instances learn of it with a delay.
  std::vector<Membership::Member> mMembers;
  std::vector<Membership::Upstream> mUpstreams;
  std::map<Base::Endpoint, Base::TimePoint> mDrainStart;
  std::map<Base::InstanceId, FakeInstance> mInstances;
  std::vector<FakeFlow> mFlows;
  std::priority_queue<Event, std::vector<Event>, Later> mEvents;
  uint64_t mNextOrder = 0;
  uint64_t mMembershipVersion = 0;
  uint32_t mNextCaller = 0;
  ClusterCounts mCounts;
};

/// Sets up instances and upstreams, lets the first table settle, then opens all flows.
void
Start(Cluster& aCluster, const ClusterOptions& aOptions);

/// Runs for the given time; each flow sends packets, each to a random running instance.
void
RunFor(Cluster& aCluster, Base::Duration aTime);

/// Opens further flows.
void
OpenFlows(Cluster& aCluster, uint32_t aCount);

/// Makes membership as it is now known to all instances, each after its own delay.
void
SpreadMembership(Cluster& aCluster, Base::Duration aMaxDelay);

void
AddInstance(Cluster& aCluster, Base::InstanceId aId);

/// The instance stops at once; the others learn of it after 5 s.
void
KillInstance(Cluster& aCluster, Base::InstanceId aId);

/// The instance announces that it leaves, hands over and stops.
void
LeaveInstance(Cluster& aCluster, Base::InstanceId aId);

/// Leaves, then joins with a new incarnation and without state.
void
RestartInstance(Cluster& aCluster, Base::InstanceId aId);

/// Adds an upstream that may be used at once, as after its hold time.
Base::Endpoint
AddUpstream(Cluster& aCluster);

void
DrainUpstream(Cluster& aCluster, const Base::Endpoint& aUpstream);

/// Ends the lease at once. Its flows end and are not counted as broken.
void
RemoveUpstream(Cluster& aCluster, const Base::Endpoint& aUpstream);

void
SetWeight(Cluster& aCluster, const Base::Endpoint& aUpstream, uint32_t aWeight);

/// \return the number of open flows by upstream.
std::map<Base::Endpoint, uint64_t>
FlowsByUpstream(const Cluster& aCluster);

} // namespace Measure

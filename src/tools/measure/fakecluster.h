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

/// Parameters of a simulation.
struct ClusterOptions
{
  uint64_t mSeed = 1;
  uint32_t mInstances = 20;
  uint32_t mUpstreams = 14;
  uint32_t mFlows = 2000;
  /// Range of the message delay between instances. A wide range reorders messages.
  Base::Duration mMinDelay = 500us;
  Base::Duration mMaxDelay = 3ms;
  /// Fraction of the messages between instances that are lost.
  double mLoss = 0;
  /// Maximum time until an instance learns of a membership change.
  Base::Duration mMaxViewDelay = 200ms;
  Base::Duration mMeanPacketInterval = 100ms;
  Placement::Settings mSettings;
  uint32_t mRecordCapacity = 200000;
};

/// A flow and the upstream that received its first packet.
struct FakeFlow
{
  Base::Endpoint mCaller;
  uint32_t mPacketsSent = 0;
  /// First upstream that received a packet, with the production placement and with plain hashing.
  std::optional<Base::Endpoint> mFirstUpstream;
  std::optional<Base::Endpoint> mPlainHashFirstUpstream;
  bool mIsBroken = false;
  bool mIsPlainHashBroken = false;
};

/// Counters of a simulation.
struct ClusterCounts
{
  uint64_t mPackets = 0;
  uint64_t mBroken = 0;
  uint64_t mPlainHashBroken = 0;
  /// Packets that an instance dropped by decision or held for too long.
  uint64_t mDropped = 0;
  uint64_t mForwarded = 0;
  /// New flows opened at an upstream more than 3 s after it began to drain.
  uint64_t mLateNewWork = 0;
  /// Packets delivered to an upstream of another service generation.
  uint64_t mMisdelivered = 0;
  /// Size of the table and record messages in bytes, by sender.
  std::map<Base::InstanceId, uint64_t> mControlBytes;
};

/// A simulated instance that runs the production placement code with one shard.
struct FakeInstance
{
  explicit FakeInstance(uint32_t aRecordCapacity);

  bool mIsRunning = true;
  Membership::View mView;
  /// Latest membership version seen. Older versions are ignored.
  uint64_t mMembershipVersion = 0;
  Placement::ServiceControl mControl;
  Placement::Shard mShard;
  struct Held
  {
    Placement::Packet mPacket;
    Base::InstanceId mRequester;
    size_t mFlow = 0;
    Base::TimePoint mSince;
  };
  std::deque<Held> mHeld;
};

/// Discrete-event simulation of the instances and upstreams of one service. Runs with the same seed
/// give the same result.
struct Cluster
{
  struct Event
  {
    Base::TimePoint mAt;
    uint64_t mOrder = 0;
    std::function<void()> mRun;
  };
  struct IsLater
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
  /// Actual membership. Instances learn of changes with a delay.
  std::vector<Membership::Member> mMembers;
  std::vector<Membership::Upstream> mUpstreams;
  std::map<Base::Endpoint, Base::TimePoint> mDrainStart;
  std::map<Base::InstanceId, FakeInstance> mInstances;
  std::vector<FakeFlow> mFlows;
  std::priority_queue<Event, std::vector<Event>, IsLater> mEvents;
  uint64_t mNextOrder = 0;
  uint64_t mMembershipVersion = 0;
  uint32_t mNextCaller = 0;
  ClusterCounts mCounts;
};

/// Creates instances and upstreams, waits for the first slot table, then opens all flows.
void
Start(Cluster& aCluster, const ClusterOptions& aOptions);

/// Advances the simulation. Every flow sends its packets to randomly selected instances.
void
RunFor(Cluster& aCluster, Base::Duration aTime);

/// Opens additional flows.
void
OpenFlows(Cluster& aCluster, uint32_t aCount);

/// Sends the current membership to all instances, to each with its own random delay.
void
SpreadMembership(Cluster& aCluster, Base::Duration aMaxDelay);

void
AddInstance(Cluster& aCluster, Base::InstanceId aId);

/// Crashes an instance. The others detect it after 5 s.
void
KillInstance(Cluster& aCluster, Base::InstanceId aId);

/// Shuts an instance down gracefully: it announces that it leaves, hands over and stops.
void
LeaveInstance(Cluster& aCluster, Base::InstanceId aId);

/// Shuts an instance down gracefully, then starts it with a new incarnation and without state.
void
RestartInstance(Cluster& aCluster, Base::InstanceId aId);

/// Adds an upstream whose hold time has already passed, so that it is usable immediately.
Base::Endpoint
AddUpstream(Cluster& aCluster);

void
DrainUpstream(Cluster& aCluster, const Base::Endpoint& aUpstream);

/// Ends the lease of an upstream immediately. Its flows end and are not counted as broken.
void
RemoveUpstream(Cluster& aCluster, const Base::Endpoint& aUpstream);

void
SetWeight(Cluster& aCluster, const Base::Endpoint& aUpstream, uint32_t aWeight);

/// \return the number of open flows by upstream.
std::map<Base::Endpoint, uint64_t>
FlowsByUpstream(const Cluster& aCluster);

} // namespace Measure

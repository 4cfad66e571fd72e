#pragma once

#include "base/random.h"
#include "membership/leases.h"
#include "membership/protocol.h"
#include "membership/viewbuilder.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Measure {

/// Network traffic of an instance, including IP and UDP headers.
struct Traffic
{
  uint64_t mSentBytes = 0;
  uint64_t mSentMessages = 0;
  uint64_t mReceivedBytes = 0;
};

/// A simulated entry instance.
struct Node
{
  Membership::State mState;
  Membership::Settings mSettings;
  Base::RandomSource mRandom;
  Traffic mTraffic;
  Base::Duration mTickOffset;
  bool mRunning = true;
  /// Simulates a suspended process: no timers run and datagrams queue in the socket.
  bool mPaused = false;
  int mSide = 0;
};

/// A simulated upstream. It announces itself every second to one instance and switches to another
/// one if the call fails.
struct FakeUpstream
{
  Membership::Announcement mAnnouncement;
  Base::InstanceId mVia;
  /// Sends each announcement to a different instance.
  bool mRotates = false;
  bool mSilent = false;
  Base::TimePoint mNext;
  Membership::AnnounceOutcome mLast = Membership::AnnounceOutcome::Unavailable;
};

/// Simulates entry instances that exchange serialized messages over a network with delay, loss,
/// reordering and partitions. Has its own clock and random source. Used by the membership tests and
/// by lw-measure.
struct Network
{
  explicit Network(uint64_t aSeed);

  Base::TimePoint mNow{ std::chrono::seconds(1000) };
  Base::RandomSource mRandom;
  /// Fraction of the datagrams that are lost, 0 to 1.
  double mLoss = 0;
  /// Size of the largest datagram sent so far in bytes, including the envelope.
  size_t mLargestDatagram = 0;
  std::map<uint32_t, Node> mNodes;
  std::vector<FakeUpstream> mUpstreams;

  struct Datagram
  {
    uint32_t mFrom = 0;
    uint32_t mTo = 0;
    std::string mBytes;
  };
  std::multimap<Base::TimePoint, Datagram> mInFlight;
};

/// \return the endpoint of an instance on the simulated network.
Base::Endpoint
EndpointOf(uint32_t aId);

/// Starts an instance, or restarts it after StopNode.
/// \param aSeeds are ids of other instances.
void
StartNode(Network& aNetwork, uint32_t aId, const std::vector<uint32_t>& aSeeds);

/// Starts instances 1 to aCount with 1 and 2 as seeds and runs until all views are complete.
void
StartCluster(Network& aNetwork, uint32_t aCount);

/// Crashes an instance.
void
StopNode(Network& aNetwork, uint32_t aId);

/// Sends the messages of an outbox to the network.
void
Send(Network& aNetwork, uint32_t aFrom, const Membership::Outbox& aOutbox);

Membership::AnnounceOutcome
AnnounceTo(Network& aNetwork, uint32_t aVia, const Membership::Announcement& aAnnouncement);

/// Advances the simulation in steps of 5 ms.
void
Run(Network& aNetwork, Base::Duration aDuration);

/// Runs until the predicate holds or the limit is reached.
/// \return the elapsed time, or std::nullopt if the predicate did not hold within the limit.
std::optional<Base::Duration>
RunUntil(Network& aNetwork, Base::Duration aLimit, const std::function<bool()>& aPredicate);

Membership::View
ViewOf(const Network& aNetwork, uint32_t aId);

/// \return true if the predicate holds for the view of each running instance.
bool
AllViews(const Network& aNetwork, const std::function<bool(const Membership::View&)>& aPredicate);

/// \return the first announcement of an upstream.
Membership::Announcement
MakeAnnouncement(uint32_t aNumber, uint64_t aGeneration);

/// Adds an upstream that announces itself to instance aVia.
FakeUpstream&
AddUpstream(Network& aNetwork, uint32_t aNumber, uint32_t aVia);

} // namespace Measure

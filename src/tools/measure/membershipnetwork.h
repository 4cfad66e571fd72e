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

/// Sizes on the wire with IP and UDP headers.
struct Traffic
{
  uint64_t mSentBytes = 0;
  uint64_t mSentMessages = 0;
  uint64_t mReceivedBytes = 0;
};

/// One entry instance on the fake network.
struct Node
{
  Membership::State mState;
  Membership::Settings mSettings;
  Base::RandomSource mRandom;
  Traffic mTraffic;
  Base::Duration mTickOffset;
  bool mRunning = true;
  /// A stopped process: it runs nothing, and its datagrams wait in its socket.
  bool mPaused = false;
  int mSide = 0;
};

/// An upstream that announces itself every second to one instance, and to another one if that
/// fails.
struct FakeUpstream
{
  Membership::Announcement mAnnouncement;
  Base::InstanceId mVia;
  /// Each call goes to another instance.
  bool mRotates = false;
  bool mSilent = false;
  Base::TimePoint mNext;
  Membership::AnnounceOutcome mLast = Membership::AnnounceOutcome::Unavailable;
};

/// Entry instances that exchange real, serialized messages over a network with delay, loss,
/// reordering and partitions. Time and random source are its own; it is used by the tests and the
/// measurement of membership.
struct Network
{
  explicit Network(uint64_t aSeed);

  Base::TimePoint mNow{ std::chrono::seconds(1000) };
  Base::RandomSource mRandom;
  /// Part of the datagrams that are lost, 0 to 1.
  double mLoss = 0;
  /// Bytes of the largest datagram so far, with the envelope.
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

/// Endpoint of an instance on the fake network.
Base::Endpoint
EndpointOf(uint32_t aId);

/// Starts an instance, or starts it again after StopNode.
/// \param aSeeds are ids of other instances.
void
StartNode(Network& aNetwork, uint32_t aId, const std::vector<uint32_t>& aSeeds);

/// Starts instances 1 to aCount with 1 and 2 as seeds and runs until they know each other.
void
StartCluster(Network& aNetwork, uint32_t aCount);

/// Ends an instance at once, as a crash does.
void
StopNode(Network& aNetwork, uint32_t aId);

/// Sends the messages of a call to the network.
void
Send(Network& aNetwork, uint32_t aFrom, const Membership::Outbox& aOutbox);

Membership::AnnounceOutcome
AnnounceTo(Network& aNetwork, uint32_t aVia, const Membership::Announcement& aAnnouncement);

/// Advances the time in steps of 5 ms.
void
Run(Network& aNetwork, Base::Duration aDuration);

/// Runs until the predicate holds or the time is over.
/// \return the time that passed, or nothing if the predicate never held.
std::optional<Base::Duration>
RunUntil(Network& aNetwork, Base::Duration aLimit, const std::function<bool()>& aPredicate);

Membership::View
ViewOf(const Network& aNetwork, uint32_t aId);

/// \return true if the predicate holds for the view of each running instance.
bool
AllViews(const Network& aNetwork, const std::function<bool(const Membership::View&)>& aPredicate);

/// \return the first announcement of an upstream with this number.
Membership::Announcement
MakeAnnouncement(uint32_t aNumber, uint64_t aGeneration);

/// Adds an upstream that announces itself through an instance from now on.
FakeUpstream&
AddUpstream(Network& aNetwork, uint32_t aNumber, uint32_t aVia);

} // namespace Measure

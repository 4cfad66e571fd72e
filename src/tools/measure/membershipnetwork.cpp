#include "measure/membershipnetwork.h"

#include "peer.pb.h"

#include <algorithm>
#include <optional>

namespace Measure {

namespace {

using namespace std::chrono_literals;

constexpr Base::Duration kStep = 5ms;
constexpr Base::Duration kTickInterval = 50ms;
/// Datagrams are delayed by 0.5 ms to 4.5 ms, which reorders some of them.
constexpr Base::Duration kMinDelay = 500us;
constexpr uint64_t kDelaySpreadUs = 4000;
constexpr uint64_t kIpUdpHeader = 28;
constexpr uint32_t kPeerNetwork = 0x0A000000;
constexpr uint32_t kUpstreamNetwork = 0x0A010000;
constexpr uint16_t kPeerPort = 7000;
constexpr uint16_t kUpstreamPort = 9000;

std::string
Serialize(const Node& aNode, const lw::membership::Message& aMessage)
{
  lw::peer::PeerPacket packet;
  packet.set_sender(aNode.mState.mSelf.mValue);
  packet.set_sender_incarnation(aNode.mState.mRecords.at(aNode.mState.mSelf).mIncarnation.mValue);
  packet.set_channel(lw::peer::MEMBERSHIP);
  packet.set_payload(aMessage.SerializeAsString());
  return packet.SerializeAsString();
}

void
Deliver(Network& aNetwork, const Network::Datagram& aDatagram)
{
  Node& node = aNetwork.mNodes.at(aDatagram.mTo);
  node.mTraffic.mReceivedBytes += aDatagram.mBytes.size() + kIpUdpHeader;
  lw::peer::PeerPacket packet;
  lw::membership::Message message;
  if (!packet.ParseFromString(aDatagram.mBytes) || !message.ParseFromString(packet.payload())) {
    return;
  }
  const Membership::Sender sender{ Base::InstanceId(packet.sender()),
                                   Base::Incarnation(packet.sender_incarnation()),
                                   EndpointOf(aDatagram.mFrom) };
  Send(aNetwork,
       aDatagram.mTo,
       Membership::HandleMessage(node.mState, node.mSettings, sender, message, aNetwork.mNow));
}

void
DeliverDue(Network& aNetwork)
{
  std::multimap<Base::TimePoint, Network::Datagram> waiting;
  while (!aNetwork.mInFlight.empty() && aNetwork.mInFlight.begin()->first <= aNetwork.mNow) {
    auto entry = aNetwork.mInFlight.extract(aNetwork.mInFlight.begin());
    const auto node = aNetwork.mNodes.find(entry.mapped().mTo);
    if (node == aNetwork.mNodes.end() || !node->second.mRunning) {
      continue;
    }
    if (node->second.mPaused) {
      waiting.insert(std::move(entry));
      continue;
    }
    Deliver(aNetwork, entry.mapped());
  }
  aNetwork.mInFlight.merge(waiting);
}

void
TickNodes(Network& aNetwork)
{
  for (auto& [id, node] : aNetwork.mNodes) {
    const auto phase = (aNetwork.mNow.time_since_epoch() + node.mTickOffset) % kTickInterval;
    if (node.mRunning && !node.mPaused && phase < kStep) {
      Send(
        aNetwork, id, Membership::Tick(node.mState, node.mSettings, aNetwork.mNow, node.mRandom));
    }
  }
}

void
MoveOn(Network& aNetwork, FakeUpstream& aUpstream)
{
  auto next = aNetwork.mNodes.upper_bound(aUpstream.mVia.mValue);
  if (next == aNetwork.mNodes.end()) {
    next = aNetwork.mNodes.begin();
  }
  aUpstream.mVia = Base::InstanceId(next->first);
}

void
RunUpstreams(Network& aNetwork)
{
  for (FakeUpstream& upstream : aNetwork.mUpstreams) {
    if (upstream.mSilent || aNetwork.mNow < upstream.mNext) {
      continue;
    }
    ++upstream.mAnnouncement.mSequence;
    upstream.mLast = AnnounceTo(aNetwork, upstream.mVia.mValue, upstream.mAnnouncement);
    const bool failed = upstream.mLast == Membership::AnnounceOutcome::Unavailable;
    // Retries a failed call at another instance after a short delay.
    upstream.mNext = aNetwork.mNow + (failed ? 200ms : 1000ms);
    if (failed || upstream.mRotates) {
      MoveOn(aNetwork, upstream);
    }
  }
}

} // namespace

Network::Network(uint64_t aSeed)
  : mRandom{ aSeed }
{
}

Base::Endpoint
EndpointOf(uint32_t aId)
{
  return { kPeerNetwork + aId, kPeerPort };
}

void
StartNode(Network& aNetwork, uint32_t aId, const std::vector<uint32_t>& aSeeds)
{
  Node node;
  node.mRandom.mState = Base::NextRandom(aNetwork.mRandom);
  node.mTickOffset = std::chrono::milliseconds(Base::NextBelow(aNetwork.mRandom, 50));
  for (uint32_t seed : aSeeds) {
    node.mSettings.mSeeds.push_back(EndpointOf(seed));
  }
  const Membership::Identity identity{ Base::InstanceId(aId),
                                       Base::Incarnation(Base::NextRandom(aNetwork.mRandom)),
                                       EndpointOf(aId),
                                       "izmir-north",
                                       aId % 2 == 0 ? "carsi-hall" : "liman-depot" };
  node.mState = Membership::Start(identity, aNetwork.mNow, node.mRandom);
  aNetwork.mNodes[aId] = std::move(node);
  // Datagrams queued in the socket of the previous process are lost.
  for (auto entry = aNetwork.mInFlight.begin(); entry != aNetwork.mInFlight.end();) {
    entry = entry->second.mTo == aId ? aNetwork.mInFlight.erase(entry) : std::next(entry);
  }
}

void
StartCluster(Network& aNetwork, uint32_t aCount)
{
  for (uint32_t id = 1; id <= aCount; ++id) {
    StartNode(aNetwork, id, { 1, 2 });
  }
  RunUntil(aNetwork, 60s, [&aNetwork, aCount] {
    return AllViews(aNetwork, [aCount](const Membership::View& aView) {
      return aView.mMembers.size() == aCount;
    });
  });
  Run(aNetwork, 3s);
}

void
StopNode(Network& aNetwork, uint32_t aId)
{
  aNetwork.mNodes.at(aId).mRunning = false;
}

void
Send(Network& aNetwork, uint32_t aFrom, const Membership::Outbox& aOutbox)
{
  Node& node = aNetwork.mNodes.at(aFrom);
  for (const Membership::Outgoing& outgoing : aOutbox) {
    Network::Datagram datagram;
    datagram.mFrom = aFrom;
    datagram.mTo = outgoing.mEndpoint.mAddress - kPeerNetwork;
    datagram.mBytes = Serialize(node, outgoing.mMessage);
    node.mTraffic.mSentBytes += datagram.mBytes.size() + kIpUdpHeader;
    ++node.mTraffic.mSentMessages;
    aNetwork.mLargestDatagram = std::max(aNetwork.mLargestDatagram, datagram.mBytes.size());
    const auto receiver = aNetwork.mNodes.find(datagram.mTo);
    const bool reachable =
      receiver != aNetwork.mNodes.end() && receiver->second.mSide == node.mSide;
    if (!reachable || Base::NextUnit(aNetwork.mRandom) < aNetwork.mLoss) {
      continue;
    }
    const Base::Duration delay =
      kMinDelay + std::chrono::microseconds(Base::NextBelow(aNetwork.mRandom, kDelaySpreadUs));
    aNetwork.mInFlight.emplace(aNetwork.mNow + delay, std::move(datagram));
  }
}

Membership::AnnounceOutcome
AnnounceTo(Network& aNetwork, uint32_t aVia, const Membership::Announcement& aAnnouncement)
{
  Node& node = aNetwork.mNodes.at(aVia);
  if (!node.mRunning || node.mPaused) {
    return Membership::AnnounceOutcome::Unavailable;
  }
  const Membership::AnnounceResult result =
    Membership::Announce(node.mState, node.mSettings, aAnnouncement, aNetwork.mNow);
  Send(aNetwork, aVia, result.mOutbox);
  return result.mOutcome;
}

void
Run(Network& aNetwork, Base::Duration aDuration)
{
  const Base::TimePoint end = aNetwork.mNow + aDuration;
  while (aNetwork.mNow < end) {
    aNetwork.mNow += kStep;
    DeliverDue(aNetwork);
    TickNodes(aNetwork);
    RunUpstreams(aNetwork);
  }
}

std::optional<Base::Duration>
RunUntil(Network& aNetwork, Base::Duration aLimit, const std::function<bool()>& aPredicate)
{
  const Base::TimePoint start = aNetwork.mNow;
  while (!aPredicate()) {
    if (aNetwork.mNow - start >= aLimit) {
      return std::nullopt;
    }
    Run(aNetwork, 10 * kStep);
  }
  return aNetwork.mNow - start;
}

Membership::View
ViewOf(const Network& aNetwork, uint32_t aId)
{
  return Membership::BuildView(aNetwork.mNodes.at(aId).mState, aNetwork.mNow);
}

bool
AllViews(const Network& aNetwork, const std::function<bool(const Membership::View&)>& aPredicate)
{
  return std::all_of(aNetwork.mNodes.begin(), aNetwork.mNodes.end(), [&](const auto& aEntry) {
    return !aEntry.second.mRunning || aPredicate(ViewOf(aNetwork, aEntry.first));
  });
}

Membership::Announcement
MakeAnnouncement(uint32_t aNumber, uint64_t aGeneration)
{
  Membership::Announcement announcement;
  announcement.mEndpoint = { kUpstreamNetwork + aNumber, kUpstreamPort };
  announcement.mService = aGeneration == 1 ? "counter" : "catalogue";
  announcement.mGeneration = Base::ServiceGeneration(aGeneration);
  announcement.mStartId = 1000;
  announcement.mSequence = 1;
  announcement.mSlots = 3;
  return announcement;
}

FakeUpstream&
AddUpstream(Network& aNetwork, uint32_t aNumber, uint32_t aVia)
{
  FakeUpstream upstream;
  upstream.mAnnouncement = MakeAnnouncement(aNumber, 1);
  upstream.mVia = Base::InstanceId(aVia);
  upstream.mNext =
    aNetwork.mNow + std::chrono::milliseconds(Base::NextBelow(aNetwork.mRandom, 1000));
  aNetwork.mUpstreams.push_back(std::move(upstream));
  return aNetwork.mUpstreams.back();
}

} // namespace Measure

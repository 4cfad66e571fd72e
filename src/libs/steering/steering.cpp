#include "steering/steering.h"

#include "steering/openings.h"

#include <algorithm>
#include <chrono>
#include <set>

namespace Steering {

using namespace Internal;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// An opening packet counts as unanswered if the caller's next packet does not arrive within this
/// time. A round trip through a remote availability zone takes only a few milliseconds.
constexpr milliseconds kAnswerTimeout{ 80 };
/// Time for which the record of a flow without a request in progress is kept, for retransmitted
/// packets. The flow may still be open: its later packets are forwarded by its pin, by the cache or
/// by their tag.
constexpr seconds kIdleRecordLifetime{ 3 };

/// \return true if the caller closes or aborts the flow.
bool
IsLastOfCaller(const Packet& aPacket)
{
  return aPacket.mKind == PacketKind::Closing || aPacket.mKind == PacketKind::Abort;
}

/// \return true if several upstreams may have received the opening packet of the flow.
bool
IsContested(const Flow& aFlow)
{
  return aFlow.mTriedUpstreams.size() > 1 || aFlow.mTriedElsewhere;
}

/// Records that the caller has completed the handshake with the upstream that holds the flow.
void
ConfirmFlow(State& aState, const Packet& aPacket, Flow& aFlow, Base::TimePoint aNow)
{
  const std::optional<Directory::RouteTag> pinned =
    PinnedTag(aState.mPins, aPacket.mFlow, aPacket.mSequence);
  const Directory::RouteTag tag = pinned.value_or(aPacket.mTag);
  aFlow.mConfirmed = true;
  aFlow.mHeld = false;
  if (aFlow.mTag != tag) {
    RemoveFromLoad(aState.mLoads, aFlow);
    aFlow.mTag = tag;
  }
  if (!pinned.has_value() && IsContested(aFlow)) {
    PinFlow(aState.mPins, aPacket.mFlow, aFlow.mSequence, tag, aNow);
  }
  RecordAnswer(aState.mLoads.mByTag[aFlow.mTag], aNow);
  if (!aFlow.mRemoteZone.empty()) {
    RecordAnswer(aState.mLoads.mByRemoteZone[aFlow.mRemoteZone], aNow);
  }
  StartRequest(aState.mRequests, aState.mLoads, aPacket.mFlow, aFlow, aNow);
}

/// \return the tag of the upstream that serves the flow of a packet, if the flow has no record.
Directory::RouteTag
TagWithoutRecord(const State& aState, const Packet& aPacket)
{
  const auto pinned = PinnedTag(aState.mPins, aPacket.mFlow, aPacket.mSequence);
  if (pinned.has_value()) {
    return *pinned;
  }
  return CachedTag(aState.mFlowCache, aPacket.mFlow, aPacket.mSequence).value_or(aPacket.mTag);
}

/// Updates the record of the flow, if this instance has one.
/// \param aHandshake receives the duration of the handshake if the packet completes it.
/// \return the tag of the upstream that serves the flow.
Directory::RouteTag
UpdateFlow(State& aState,
           const Packet& aPacket,
           Base::TimePoint aNow,
           std::optional<Base::Duration>& aHandshake)
{
  const auto found = aState.mFlows.mFlows.find(aPacket.mFlow);
  if (found == aState.mFlows.mFlows.end()) {
    return TagWithoutRecord(aState, aPacket);
  }
  Flow& flow = found->second;
  flow.mLastPacketAt = aNow;
  flow.mClosing = flow.mClosing || IsLastOfCaller(aPacket);
  if (!flow.mConfirmed && aPacket.mKind != PacketKind::Abort) {
    aHandshake = aNow - flow.mOpenedAt;
    ConfirmFlow(aState, aPacket, flow, aNow);
  }
  const bool closesUnused = aPacket.mKind == PacketKind::Closing && !flow.mHasSentData;
  if (aPacket.mKind == PacketKind::Abort || closesUnused) {
    RemoveFromLoad(aState.mLoads, flow);
    flow.mAwaitsAnswerSince.reset();
  } else if (aPacket.mCarriesData) {
    RecordData(aState.mOutliers, flow, aPacket.mSequence, aNow);
    flow.mHasSentData = true;
    StartRequest(aState.mRequests, aState.mLoads, aPacket.mFlow, flow, aNow);
  } else if (flow.mHasSentData) {
    FinishRequest(aState.mRequests, aState.mLoads, flow, aNow);
    RecordAnswerTo(aState.mOutliers, flow, aNow);
  }
  // If a second upstream answers a retransmitted opening packet late, the caller's packets carry
  // the second upstream's tag although the flow is open at the first one.
  return flow.mTag;
}

/// Keeps the upstream of a flow that was opened at another instance, so that an upstream that
/// answers a copy of its opening packet later does not take it over.
void
UpdateFlowCache(State& aState,
                const Packet& aPacket,
                Directory::RouteTag aTag,
                Base::TimePoint aNow)
{
  if (IsLastOfCaller(aPacket)) {
    MarkClosing(aState.mPins, aPacket.mFlow);
    RemoveCached(aState.mFlowCache, aPacket.mFlow);
  } else if (aPacket.mCarriesData && aState.mFlows.mFlows.count(aPacket.mFlow) == 0 &&
             !PinnedTag(aState.mPins, aPacket.mFlow, aPacket.mSequence).has_value() &&
             Directory::Find(aState.mDirectory, aTag) != nullptr) {
    // Packets without data may follow the end of a flow.
    CacheForeignFlow(aState.mFlowCache, aPacket.mFlow, aPacket.mSequence, aTag, aNow);
  }
}

/// \return true if the upstream may have been restarted with the same id at the same address.
bool
MayHaveRestarted(const Directory::MergedDirectory& aDirectory,
                 const Directory::MergedUpstream& aUpstream)
{
  const auto newest = aDirectory.mNewest.find(aUpstream.mUpstream.mId);
  if (newest == aDirectory.mNewest.end() || newest->second == aUpstream.mTag) {
    return false;
  }
  const Directory::MergedUpstream* later = Directory::Find(aDirectory, newest->second);
  if (later == nullptr || later->mUpstream.mState == Directory::State::Gone) {
    return false;
  }
  // If only the departure of the later start is known, its address is not set.
  const Base::Endpoint& address = later->mUpstream.mAddress;
  return address.mPort == 0 || address == aUpstream.mUpstream.mAddress;
}

} // namespace

/// The same tag as UpdateFlow returns for the packet.
Directory::RouteTag
Internal::CurrentTag(const State& aState, const Packet& aPacket)
{
  const auto found = aState.mFlows.mFlows.find(aPacket.mFlow);
  const bool keepsTag = found != aState.mFlows.mFlows.end() &&
                        (found->second.mConfirmed || aPacket.mKind == PacketKind::Abort);
  return keepsTag ? found->second.mTag : TagWithoutRecord(aState, aPacket);
}

namespace {

/// \return true if an upstream that is not in the directory may be alive. With a complete
/// directory, this is the case only while connected control instances have not replied for some
/// poll intervals, so that packets with invalid tags are not held in normal operation.
bool
MayLackUpstreams(const State& aState, const Settings& aSettings, Base::TimePoint aNow)
{
  if (!IsDirectoryComplete(aState, aSettings, aNow) ||
      aNow - aState.mConnectedAt > aSettings.mMaxConfigAge) {
    return true;
  }
  const auto& sources = aState.mDirectory.mSources;
  return std::any_of(sources.begin(), sources.end(), [&](const auto& aItem) {
    const Base::Duration silence = aNow - aItem.second.mRepliedAt;
    return aItem.second.mConnected && silence > aSettings.mMaxConfigAge &&
           silence <= aSettings.mLease;
  });
}

Decision
SteerTagged(State& aState, const Settings& aSettings, const Packet& aPacket, Base::TimePoint aNow)
{
  const Directory::RouteTag current = CurrentTag(aState, aPacket);
  // No upstream has the tag 0. The flow is updated only once, when the packet is decided.
  if (current.mValue != 0 && Directory::Find(aState.mDirectory, current) == nullptr &&
      MayLackUpstreams(aState, aSettings, aNow)) {
    return HoldUndecided(aState, aSettings, aPacket, Reason::UnknownTag, aNow);
  }
  std::optional<Base::Duration> handshake;
  const Directory::RouteTag tag = UpdateFlow(aState, aPacket, aNow, handshake);
  UpdateFlowCache(aState, aPacket, tag, aNow);
  const Directory::MergedUpstream* upstream = Directory::Find(aState.mDirectory, tag);
  if (upstream == nullptr) {
    return Refuse(Action::Drop, Reason::UnknownTag);
  }
  if (upstream->mUpstream.mState == Directory::State::Gone) {
    if (MayHaveRestarted(aState.mDirectory, *upstream)) {
      // The restarted upstream may have accepted flows whose opening packets were sent with this
      // tag. It resets all other flows of its predecessor itself.
      return ForwardTo(aState, *upstream, Reason::UpstreamRestarted, aNow);
    }
    Decision decision = ForwardTo(aState, *upstream, Reason::UpstreamGone, aNow);
    decision.mAction = aPacket.mKind == PacketKind::Abort ? Action::Drop : Action::Reset;
    return decision;
  }
  const Reason reason = tag == aPacket.mTag ? Reason::Tagged : Reason::Retagged;
  Decision decision = ForwardTo(aState, *upstream, reason, aNow);
  decision.mHandshake = handshake;
  return decision;
}

/// \return what this instance knows about its peers. Empty if no service has a rate limit.
HolderView
ViewOfPeers(const State& aState, const std::string& aAvailabilityZone, Base::TimePoint aNow)
{
  if (aState.mColdStarts.mRates.empty()) {
    return {};
  }
  return { aState.mPins.mSelf,
           aAvailabilityZone,
           LivePeers(aState.mReports, aNow),
           ReportLifetime(aState.mColdStarts.mListed.size()) };
}

} // namespace

const char*
ToString(Action aAction)
{
  switch (aAction) {
    case Action::Forward:
      return "forward";
    case Action::Reset:
      return "reset";
    case Action::Hold:
      return "hold";
    case Action::Drop:
      break;
  }
  return "drop";
}

const char*
ToString(Reason aReason)
{
  switch (aReason) {
    case Reason::NewFlow:
      return "new_flow";
    case Reason::RepeatedOpening:
      return "repeated_opening";
    case Reason::Saturated:
      return "saturated";
    case Reason::Released:
      return "released";
    case Reason::Overloaded:
      return "overloaded";
    case Reason::Tagged:
      return "tagged";
    case Reason::Retagged:
      return "retagged";
    case Reason::NoRoute:
      return "no_route";
    case Reason::NoUpstream:
      return "no_upstream";
    case Reason::NotStarted:
      return "not_started";
    case Reason::UnknownTag:
      return "unknown_tag";
    case Reason::UpstreamGone:
      return "upstream_gone";
    case Reason::UpstreamRestarted:
      return "upstream_restarted";
    case Reason::Malformed:
      break;
  }
  return "malformed";
}

Decision
Steer(State& aState, const Settings& aSettings, const Packet& aPacket, Base::TimePoint aNow)
{
  if (aPacket.mKind == PacketKind::Invalid) {
    return Refuse(Action::Drop, Reason::Malformed);
  }
  const Decision decision = aPacket.mKind == PacketKind::Opening
                              ? SteerOpening(aState, aSettings, aPacket, aNow)
                              : SteerTagged(aState, aSettings, aPacket, aNow);
  if (!IsHeldEarly(decision)) {
    // A held copy of the packet must not be decided a second time.
    RemoveEarly(aState.mEarlyPackets, aPacket);
  }
  return decision;
}

bool
IsHeldEarly(const Decision& aDecision)
{
  return aDecision.mAction == Action::Hold && aDecision.mReason != Reason::Saturated;
}

std::vector<ReleasedPacket>
ReleaseEarlyPackets(State& aState, const Settings& aSettings, Base::TimePoint aNow)
{
  std::vector<ReleasedPacket> released;
  const EarlyPackets& early = aState.mEarlyPackets;
  // If an opening is still undecided, later ones to the same address most likely are too. Skipping
  // them saves a choice of an upstream for each of them at each reply.
  std::set<Base::Endpoint> undecided;
  for (auto item = early.mPackets.begin(); item != early.mPackets.end();) {
    const EarlyOrder order = item->first;
    Packet packet = ToPacket(item->second, aNow);
    const bool skip = packet.mKind == PacketKind::Opening
                        ? aState.mRoutes.mVersion == 0 || undecided.count(packet.mFlow.mService) > 0
                        : Directory::Find(aState.mDirectory, CurrentTag(aState, packet)) == nullptr;
    if (!skip && item->second.mExpiresAt > aNow) {
      ReleasedPacket next{ packet.mFlow, item->second.mDatagram, {}, packet.mTag };
      packet.mDatagram = next.mDatagram;
      next.mDecision = Steer(aState, aSettings, packet, aNow);
      if (IsHeldEarly(next.mDecision)) {
        undecided.insert(packet.mFlow.mService);
      } else {
        released.push_back(std::move(next));
      }
    }
    item = early.mPackets.upper_bound(order);
  }
  return released;
}

std::vector<ReleasedPacket>
ExpireEarlyPackets(State& aState, Base::TimePoint aNow)
{
  std::vector<ReleasedPacket> expired;
  for (EarlyPacket& packet : RemoveExpiredEarly(aState.mEarlyPackets, aNow)) {
    expired.push_back({ packet.mKey.mFlow,
                        std::move(packet.mDatagram),
                        Refuse(Action::Drop, packet.mReason),
                        packet.mTag });
  }
  return expired;
}

bool
ApplyPollReply(State& aState,
               Base::InstanceId aControl,
               const lw::fleet::PollReply& aReply,
               Base::TimePoint aNow)
{
  Directory::Merge(aState.mDirectory, aControl, aReply, aNow);
  if (aState.mFirstReplyAt == Base::TimePoint()) {
    aState.mFirstReplyAt = aNow;
  }
  if (aReply.connected()) {
    aState.mConnectedAt = aNow;
  }
  if (aReply.has_evacuations()) {
    Update(aState.mEvacuations, aReply.evacuations(), aNow);
  }
  if (!aReply.has_routes() || !Update(aState.mRoutes, aReply.routes())) {
    return false;
  }
  SetColdStartRates(aState.mColdStarts, aReply.routes());
  return true;
}

lw::fleet::LoadReport
MakePeerReport(State& aState, Base::TimePoint aNow)
{
  lw::fleet::LoadReport report = MakeReport(aState.mLoads, aNow);
  AddRequestCounts(aState.mOutliers, aNow, report);
  const size_t peers = aState.mInstances - 1;
  AddPendingPins(aState.mPins, report, peers, ReportInterval(aState.mInstances), aNow);
  if (!aState.mColdStarts.mRates.empty()) {
    AddNotReceivedFrom(aState.mColdStarts, ViewOfPeers(aState, std::string(), aNow), report);
  }
  return report;
}

void
ApplyPeerReport(State& aState, const lw::fleet::LoadReport& aReport, Base::TimePoint aNow)
{
  ApplyPins(aState.mPins, aReport, aNow);
  const uint64_t missed = ApplyLoadReport(aState.mReports, aState.mLoads, aReport, aNow);
  const bool missedPins = missed >= kReportsPerPin;
  if (missedPins) {
    RequestPinsFrom(aState.mPins, aReport.instance());
  }
  // A peer that has just started or was out of reach may lack pins as well.
  if (missedPins || IsAskedForPins(aState.mPins, aReport)) {
    SchedulePinsFor(aState.mPins, aReport.instance(), aState.mReports, aNow);
  }
}

void
Expire(State& aState, Base::TimePoint aNow)
{
  auto& flows = aState.mFlows.mFlows;
  for (auto item = flows.begin(); item != flows.end();) {
    Flow& flow = item->second;
    const Base::Duration silence = aNow - flow.mLastPacketAt;
    if (!flow.mConfirmed && !flow.mHeld && aNow - flow.mForwardedAt > kAnswerTimeout) {
      RecordUnansweredOpening(aState, flow, aNow);
    }
    const bool idle = flow.mConfirmed && !flow.mCountedInLoad && silence > kIdleRecordLifetime;
    if (idle && !flow.mClosing) {
      CacheFlow(aState.mFlowCache, item->first, flow.mSequence, flow.mTag, aNow);
    }
    item = idle || silence > kMaxFlowAge ? flows.erase(item) : std::next(item);
  }
  ForgetSilentFlows(aState.mRequests, aState.mLoads, aState.mFlows, aState.mOutliers, aNow);
  ExpirePins(aState.mPins, aNow);
  ExpireCachedFlows(aState.mFlowCache, aNow);
  for (const uint32_t lost : ExpireReports(aState.mReports, aState.mLoads, aNow)) {
    SchedulePinsOf(aState.mPins, lost, aNow);
  }
  RemoveUnusedLoads(aState.mLoads, aNow);
  Directory::RemoveExpiredUpstreams(aState.mDirectory, aNow);
  ExpireSlowStarts(aState.mEvacuations, aNow);
}

void
UpdateColdStarts(State& aState, const Settings& aSettings, Base::TimePoint aNow)
{
  const HolderView view = ViewOfPeers(aState, aSettings.mAvailabilityZone, aNow);
  UpdateHeldUpstreams(aState.mColdStarts, aState.mDirectory, view, aNow);
}

bool
IsReady(const State& aState)
{
  return aState.mRoutes.mVersion > 0 && !aState.mDirectory.mByTag.empty();
}

} // namespace Steering

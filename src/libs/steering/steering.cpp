#include "steering/steering.h"

#include "steering/openings.h"

#include <algorithm>
#include <chrono>

namespace Steering {

using namespace Internal;

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// An opening packet counts as unanswered if the caller's next packet does not arrive within this
/// time. A round trip through a remote availability zone takes only a few milliseconds.
constexpr milliseconds kAnswerTimeout{ 80 };
constexpr seconds kFlowRecordLifetime{ 60 };
/// Time for which the record of a flow without a request in progress is kept, for retransmitted
/// packets. The flow may still be open: its later packets are forwarded by their tag or its pin.
constexpr seconds kIdleRecordLifetime{ 3 };

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

/// Updates the record of the flow, if this instance has one.
/// \param aHandshake receives the duration of the handshake if the packet completes it.
/// \return the tag of the upstream that serves the flow.
Directory::RouteTag
UpdateFlow(State& aState,
           const Packet& aPacket,
           Base::TimePoint aNow,
           std::optional<Base::Duration>& aHandshake)
{
  if (aPacket.mKind == PacketKind::Closing || aPacket.mKind == PacketKind::Abort) {
    MarkClosing(aState.mPins, aPacket.mFlow);
  }
  const auto found = aState.mFlows.mFlows.find(aPacket.mFlow);
  if (found == aState.mFlows.mFlows.end()) {
    return PinnedTag(aState.mPins, aPacket.mFlow, aPacket.mSequence).value_or(aPacket.mTag);
  }
  Flow& flow = found->second;
  flow.mLastPacketAt = aNow;
  if (!flow.mConfirmed && aPacket.mKind != PacketKind::Abort) {
    aHandshake = aNow - flow.mOpenedAt;
    ConfirmFlow(aState, aPacket, flow, aNow);
  }
  const bool closesUnused = aPacket.mKind == PacketKind::Closing && !flow.mHasSentData;
  if (aPacket.mKind == PacketKind::Abort || closesUnused) {
    RemoveFromLoad(aState.mLoads, flow);
  } else if (aPacket.mCarriesData) {
    flow.mHasSentData = true;
    StartRequest(aState.mRequests, aState.mLoads, aPacket.mFlow, flow, aNow);
  } else if (flow.mHasSentData) {
    FinishRequest(aState.mRequests, aState.mLoads, flow, aNow);
  }
  // If a second upstream answers a retransmitted opening packet late, the caller's packets carry
  // the second upstream's tag although the flow is open at the first one.
  return flow.mTag;
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

Decision
SteerTagged(State& aState, const Packet& aPacket, Base::TimePoint aNow)
{
  std::optional<Base::Duration> handshake;
  const Directory::RouteTag tag = UpdateFlow(aState, aPacket, aNow, handshake);
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
  switch (aPacket.mKind) {
    case PacketKind::Opening:
      return SteerOpening(aState, aSettings, aPacket, aNow);
    case PacketKind::Invalid:
      return Refuse(Action::Drop, Reason::Malformed);
    default:
      return SteerTagged(aState, aPacket, aNow);
  }
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
  return aReply.has_routes() && Update(aState.mRoutes, aReply.routes());
}

lw::fleet::LoadReport
MakePeerReport(State& aState, Base::TimePoint aNow)
{
  lw::fleet::LoadReport report = MakeReport(aState.mLoads, aNow);
  const size_t peers = aState.mInstances - 1;
  AddPendingPins(aState.mPins, report, peers, ReportInterval(aState.mInstances), aNow);
  return report;
}

void
ApplyPeerReport(State& aState, const lw::fleet::LoadReport& aReport, Base::TimePoint aNow)
{
  ApplyPins(aState.mPins, aReport, aNow);
  const uint64_t missed = ApplyLoadReport(aState.mReports, aState.mLoads, aReport, aNow);
  const bool missedPins = missed >= kReportsPerPin;
  if (missedPins) {
    RequestPins(aState.mPins, aReport.instance());
  }
  // A peer that has just started or was out of reach may lack pins as well.
  if (missedPins || RequestsPins(aState.mPins, aReport)) {
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
    item = idle || silence > kFlowRecordLifetime ? flows.erase(item) : std::next(item);
  }
  ForgetSilentFlows(aState.mRequests, aState.mLoads, aState.mFlows, aNow);
  ExpirePins(aState.mPins, aNow);
  for (const uint32_t lost : ExpireReports(aState.mReports, aState.mLoads, aNow)) {
    SchedulePinsOf(aState.mPins, lost, aNow);
  }
  RemoveUnusedLoads(aState.mLoads, aNow);
  Directory::RemoveExpiredUpstreams(aState.mDirectory, aNow);
  ExpireSlowStarts(aState.mEvacuations, aNow);
}

bool
IsReady(const State& aState)
{
  return aState.mRoutes.mVersion > 0 && !aState.mDirectory.mByTag.empty();
}

} // namespace Steering

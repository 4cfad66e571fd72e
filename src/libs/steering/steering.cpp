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
/// Time for which the record of a closed flow is kept, for retransmitted packets.
constexpr seconds kClosedFlowLifetime{ 3 };

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
    return aPacket.mTag;
  }
  Flow& flow = found->second;
  flow.mLastPacketAt = aNow;
  if (!flow.mConfirmed && aPacket.mKind != PacketKind::Abort) {
    flow.mConfirmed = true;
    flow.mHeld = false;
    aHandshake = aNow - flow.mOpenedAt;
    if (flow.mTag != aPacket.mTag) {
      RemoveFromLoad(aState.mLoads, flow);
      flow.mTag = aPacket.mTag;
    }
    RecordAnswer(aState.mLoads.mByTag[flow.mTag], aNow);
    if (!flow.mRemoteZone.empty()) {
      RecordAnswer(aState.mLoads.mByRemoteZone[flow.mRemoteZone], aNow);
    }
    StartRequest(aState.mRequests, aState.mLoads, aPacket.mFlow, flow, aNow);
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
  Decision decision = ForwardTo(aState, *upstream, Reason::Tagged, aNow);
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
  return aReply.has_routes() && Update(aState.mRoutes, aReply.routes());
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
    const bool closed = flow.mConfirmed && !flow.mCountedInLoad && silence > kClosedFlowLifetime;
    item = closed || silence > kFlowRecordLifetime ? flows.erase(item) : std::next(item);
  }
  ForgetSilentFlows(aState.mRequests, aState.mLoads, aState.mFlows, aNow);
  ExpireReports(aState.mReports, aState.mLoads, aNow);
  RemoveUnusedLoads(aState.mLoads, aNow);
  Directory::RemoveExpiredUpstreams(aState.mDirectory, aNow);
}

bool
IsReady(const State& aState)
{
  return aState.mRoutes.mVersion > 0 && !aState.mDirectory.mByTag.empty();
}

} // namespace Steering

#include "steering/steering.h"

#include <algorithm>
#include <chrono>

namespace Steering {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// An opening packet counts as unanswered if the caller's next packet does not arrive within this
/// time. A round trip through a remote availability zone takes only a few milliseconds.
constexpr milliseconds kAnswerTimeout{ 80 };
constexpr seconds kFlowRecordLifetime{ 60 };
/// Time for which the record of a closed flow is kept, for retransmitted packets.
constexpr seconds kClosedFlowLifetime{ 3 };

/// Records the missing answer to the latest opening packet, once, against the upstream and, if it
/// is remote, against its availability zone. The flow counts as load again when it is confirmed.
void
RecordUnansweredOpening(State& aState, Flow& aFlow, Base::TimePoint aNow)
{
  if (!aFlow.mUnansweredRecorded) {
    aFlow.mUnansweredRecorded = true;
    RemoveFromLoad(aState.mLoads, aFlow);
    RecordUnanswered(aState.mLoads.mByTag[aFlow.mTag], aFlow.mForwardedAt, aNow);
    if (!aFlow.mRemoteZone.empty()) {
      RecordUnanswered(aState.mLoads.mByRemoteZone[aFlow.mRemoteZone], aFlow.mForwardedAt, aNow);
    }
  }
}

Decision
Refuse(Action aAction, Reason aReason)
{
  Decision decision;
  decision.mAction = aAction;
  decision.mReason = aReason;
  return decision;
}

Decision
ForwardTo(const State& aState,
          const Directory::MergedUpstream& aUpstream,
          Reason aReason,
          Base::TimePoint aNow)
{
  Decision decision;
  decision.mAction = Action::Forward;
  decision.mReason = aReason;
  decision.mTag = aUpstream.mTag;
  decision.mUpstream = aUpstream.mUpstream.mId;
  decision.mAddress = aUpstream.mUpstream.mAddress;
  decision.mDirectoryAge = aNow - Directory::LastAnnounced(aState.mDirectory, aUpstream);
  return decision;
}

/// Assigns the flow to an upstream, preferably to one that was not tried before.
Decision
AssignUpstream(State& aState,
               const Settings& aSettings,
               Flow& aFlow,
               Reason aReason,
               Base::TimePoint aNow)
{
  const ChoiceInput input{ aState.mDirectory,
                           aState.mLoads,
                           aFlow.mService,
                           aSettings.mAvailabilityZone,
                           aFlow.mTriedUpstreams,
                           aSettings.mLease,
                           aNow };
  const Choice choice = ChooseUpstream(input, aState.mRandom);
  if (choice.mUpstream == nullptr) {
    // After a start, the directory is complete only when every upstream has had the time to renew
    // its announcement. A reset before that could refuse a flow that an unknown upstream can serve.
    const bool complete = aNow - aState.mFirstReplyAt > aSettings.mLease;
    return Refuse(complete ? Action::Reset : Action::Drop, Reason::NoUpstream);
  }
  RemoveFromLoad(aState.mLoads, aFlow);
  aFlow.mTag = choice.mUpstream->mTag;
  if (std::find(aFlow.mTriedUpstreams.begin(), aFlow.mTriedUpstreams.end(), aFlow.mTag) ==
      aFlow.mTriedUpstreams.end()) {
    aFlow.mTriedUpstreams.push_back(aFlow.mTag);
  }
  aFlow.mForwardedAt = aNow;
  aFlow.mUnansweredRecorded = false;
  const std::string& zone = choice.mUpstream->mUpstream.mAvailabilityZone;
  aFlow.mRemoteZone = zone == aSettings.mAvailabilityZone ? std::string() : zone;
  AddToLoad(aState.mLoads, aFlow);
  Decision decision = ForwardTo(aState, *choice.mUpstream, aReason, aNow);
  decision.mCandidates = choice.mCandidates;
  decision.mOutstanding = choice.mOutstanding;
  return decision;
}

Decision
SteerRepeatedOpening(State& aState, const Settings& aSettings, Flow& aFlow, Base::TimePoint aNow)
{
  if (aFlow.mConfirmed) {
    const Directory::MergedUpstream* upstream = Directory::Find(aState.mDirectory, aFlow.mTag);
    return upstream == nullptr ? Refuse(Action::Drop, Reason::UnknownTag)
                               : ForwardTo(aState, *upstream, Reason::RepeatedOpening, aNow);
  }
  RecordUnansweredOpening(aState, aFlow, aNow);
  return AssignUpstream(aState, aSettings, aFlow, Reason::RepeatedOpening, aNow);
}

Decision
SteerOpening(State& aState, const Settings& aSettings, const Packet& aPacket, Base::TimePoint aNow)
{
  const auto known = aState.mFlows.mFlows.find(aPacket.mFlow);
  if (known != aState.mFlows.mFlows.end()) {
    if (known->second.mSequence == aPacket.mSequence) {
      known->second.mLastPacketAt = aNow;
      return SteerRepeatedOpening(aState, aSettings, known->second, aNow);
    }
    RemoveFromLoad(aState.mLoads, known->second);
    aState.mFlows.mFlows.erase(known);
  }
  if (aState.mRoutes.mVersion == 0) {
    return Refuse(Action::Drop, Reason::NotStarted);
  }
  const auto route = aState.mRoutes.mRoutes.find(aPacket.mFlow.mService);
  if (route == aState.mRoutes.mRoutes.end()) {
    const bool fresh = aNow - aState.mConnectedAt < aSettings.mMaxConfigAge;
    return Refuse(fresh ? Action::Reset : Action::Drop, Reason::NoRoute);
  }
  Flow flow;
  flow.mService = SelectService(route->second, aState.mRandom);
  flow.mRouteVersion = aState.mRoutes.mVersion;
  flow.mSequence = aPacket.mSequence;
  flow.mOpenedAt = aNow;
  flow.mLastPacketAt = aNow;
  const Decision decision = AssignUpstream(aState, aSettings, flow, Reason::NewFlow, aNow);
  if (decision.mAction == Action::Forward) {
    if (aState.mFlows.mFlows.size() < kMaxFlows) {
      aState.mFlows.mFlows.emplace(aPacket.mFlow, std::move(flow));
    } else {
      RemoveFromLoad(aState.mLoads, flow);
    }
  }
  return decision;
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
    return aPacket.mTag;
  }
  Flow& flow = found->second;
  flow.mLastPacketAt = aNow;
  if (!flow.mConfirmed && aPacket.mKind != PacketKind::Abort) {
    flow.mConfirmed = true;
    aHandshake = aNow - flow.mOpenedAt;
    if (flow.mTag != aPacket.mTag) {
      RemoveFromLoad(aState.mLoads, flow);
      flow.mTag = aPacket.mTag;
    }
    RecordAnswer(aState.mLoads.mByTag[flow.mTag], aNow);
    if (!flow.mRemoteZone.empty()) {
      RecordAnswer(aState.mLoads.mByRemoteZone[flow.mRemoteZone], aNow);
    }
    AddToLoad(aState.mLoads, flow);
  }
  if (aPacket.mKind == PacketKind::Closing && flow.mCountedInLoad) {
    RecordDuration(aState.mDurations, flow, aNow);
  }
  if (aPacket.mKind == PacketKind::Closing || aPacket.mKind == PacketKind::Abort) {
    RemoveFromLoad(aState.mLoads, flow);
  } else if (aPacket.mCarriesData) {
    AddToLoad(aState.mLoads, flow);
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
    if (silence > SilenceLimit(aState.mDurations, flow.mService)) {
      RemoveFromLoad(aState.mLoads, flow);
    }
    if (!flow.mConfirmed && aNow - flow.mForwardedAt > kAnswerTimeout) {
      RecordUnansweredOpening(aState, flow, aNow);
    }
    const bool closed = flow.mConfirmed && !flow.mCountedInLoad && silence > kClosedFlowLifetime;
    item = closed || silence > kFlowRecordLifetime ? flows.erase(item) : std::next(item);
  }
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

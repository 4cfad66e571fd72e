#include "steering/steering.h"

#include <algorithm>
#include <chrono>

namespace Steering {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// An opening packet without the caller's next packet for this long is unanswered: both ways
/// through another availability zone and back take some milliseconds.
constexpr milliseconds kAnswerLimit{ 80 };
/// A flow without packets for this long counts as idle, although its record stays.
constexpr milliseconds kWorkSilence{ 2500 };
constexpr seconds kFlowRecordLifetime{ 60 };
/// Flow records kept after the caller has closed, for repeated packets.
constexpr seconds kClosedLifetime{ 3 };

void
CountWork(State& aState, Flow& aFlow)
{
  if (!aFlow.mCounted) {
    aFlow.mCounted = true;
    ++aState.mLoads.mByTag[aFlow.mTag].mOwn;
  }
}

void
EndWork(State& aState, Flow& aFlow)
{
  if (aFlow.mCounted) {
    aFlow.mCounted = false;
    Load& load = aState.mLoads.mByTag[aFlow.mTag];
    load.mOwn -= std::min(load.mOwn, 1U);
  }
}

/// Counts an opening packet without an answer against the upstream, once.
void
Blame(State& aState, Flow& aFlow, Base::TimePoint aNow)
{
  if (!aFlow.mBlamed) {
    aFlow.mBlamed = true;
    NoteUnanswered(aState.mLoads.mByTag[aFlow.mTag], aFlow.mOfferedAt, aNow);
    if (!aFlow.mRemoteZone.empty()) {
      NoteUnanswered(aState.mLoads.mByRemoteZone[aFlow.mRemoteZone], aFlow.mOfferedAt, aNow);
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
  decision.mDirectoryAge = aNow - Directory::LastHeard(aState.mDirectory, aUpstream);
  return decision;
}

/// Offers the flow to an upstream that it has not been offered to, if there is one.
Decision
Place(State& aState, const Settings& aSettings, Flow& aFlow, Reason aReason, Base::TimePoint aNow)
{
  const ChoiceInput input{
    aState.mDirectory, aState.mLoads, aFlow.mService, aSettings.mAvailabilityZone, aFlow.mTried,
    aSettings.mLease,  aNow
  };
  const Choice choice = ChooseUpstream(input, aState.mRandom);
  if (choice.mUpstream == nullptr) {
    // After a start, upstreams may be missing that announce themselves only now and then.
    const bool complete = aNow - aState.mFirstReplyAt > aSettings.mLease;
    return Refuse(complete ? Action::Reset : Action::Drop, Reason::NoUpstream);
  }
  EndWork(aState, aFlow);
  aFlow.mTag = choice.mUpstream->mTag;
  if (std::find(aFlow.mTried.begin(), aFlow.mTried.end(), aFlow.mTag) == aFlow.mTried.end()) {
    aFlow.mTried.push_back(aFlow.mTag);
  }
  aFlow.mOfferedAt = aNow;
  aFlow.mBlamed = false;
  const std::string& zone = choice.mUpstream->mUpstream.mAvailabilityZone;
  aFlow.mRemoteZone = zone == aSettings.mAvailabilityZone ? std::string() : zone;
  CountWork(aState, aFlow);
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
  Blame(aState, aFlow, aNow);
  return Place(aState, aSettings, aFlow, Reason::RepeatedOpening, aNow);
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
    EndWork(aState, known->second);
    aState.mFlows.mFlows.erase(known);
  }
  if (aState.mRoutes.mVersion == 0) {
    return Refuse(Action::Drop, Reason::NotStarted);
  }
  const auto route = aState.mRoutes.mRoutes.find(aPacket.mFlow.mService);
  if (route == aState.mRoutes.mRoutes.end()) {
    const bool fresh = aNow - aState.mConnectedAt < aSettings.mConfigTrust;
    return Refuse(fresh ? Action::Reset : Action::Drop, Reason::NoRoute);
  }
  Flow flow;
  flow.mService = DrawService(route->second, aState.mRandom);
  flow.mRouteVersion = aState.mRoutes.mVersion;
  flow.mSequence = aPacket.mSequence;
  flow.mOpenedAt = aNow;
  flow.mLastPacketAt = aNow;
  const Decision decision = Place(aState, aSettings, flow, Reason::NewFlow, aNow);
  if (decision.mAction == Action::Forward) {
    if (aState.mFlows.mFlows.size() < kMaxFlows) {
      aState.mFlows.mFlows.emplace(aPacket.mFlow, std::move(flow));
    } else {
      EndWork(aState, flow);
    }
  }
  return decision;
}

/// Keeps the record of the flow up to date.
/// \param aHandshake receives the time that the flow took to open, with its first packet.
/// \return the tag that the packet belongs to.
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
      EndWork(aState, flow);
      flow.mTag = aPacket.mTag;
    }
    NoteAnswer(aState.mLoads.mByTag[flow.mTag], aNow);
    if (!flow.mRemoteZone.empty()) {
      NoteAnswer(aState.mLoads.mByRemoteZone[flow.mRemoteZone], aNow);
    }
    CountWork(aState, flow);
  }
  if (aPacket.mKind == PacketKind::Closing || aPacket.mKind == PacketKind::Abort) {
    EndWork(aState, flow);
  } else if (aPacket.mCarriesData) {
    CountWork(aState, flow);
  }
  // A second upstream may have answered a repeated opening packet late, and the caller then names
  // it although the flow is open at the first one.
  return flow.mTag;
}

/// \return true if a later start under the same id may run at the address of this one.
bool
MayRunAgain(const Directory::MergedDirectory& aDirectory,
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
  // Only the departure of the later start may be known so far, which names no address.
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
    if (MayRunAgain(aState.mDirectory, *upstream)) {
      // The later start has taken opening packets that were meant for this one, and refuses the
      // other flows of this one itself.
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
    case PacketKind::Foreign:
      return Refuse(Action::Drop, Reason::Malformed);
    default:
      return SteerTagged(aState, aPacket, aNow);
  }
}

bool
TakeReply(State& aState,
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
    if (silence > kWorkSilence) {
      EndWork(aState, flow);
    }
    if (!flow.mConfirmed && aNow - flow.mOfferedAt > kAnswerLimit) {
      Blame(aState, flow, aNow);
    }
    const bool closed = flow.mConfirmed && !flow.mCounted && silence > kClosedLifetime;
    item = closed || silence > kFlowRecordLifetime ? flows.erase(item) : std::next(item);
  }
  ExpireReports(aState.mReports, aState.mLoads, aNow);
  ForgetUnused(aState.mLoads, aNow);
  Directory::ForgetGone(aState.mDirectory, aNow);
}

bool
IsReady(const State& aState)
{
  return aState.mRoutes.mVersion > 0 && !aState.mDirectory.mByTag.empty();
}

} // namespace Steering

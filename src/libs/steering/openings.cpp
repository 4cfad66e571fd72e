#include "steering/openings.h"

#include "steering/assignment.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace Steering {

namespace Internal {

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

bool
IsDirectoryComplete(const State& aState, const Settings& aSettings, Base::TimePoint aNow)
{
  if (aState.mFirstReplyAt == Base::TimePoint() ||
      aNow - aState.mFirstReplyAt <= aSettings.mLease) {
    return false;
  }
  const auto& sources = aState.mDirectory.mSources;
  return std::all_of(sources.begin(), sources.end(), [&](const auto& aItem) {
    const Directory::DirectorySource& source = aItem.second;
    // The upstreams of a control instance that was lost announce themselves to others by then.
    const bool lost = aNow - source.mRepliedAt > aSettings.mLease;
    return source.mComplete || !source.mConnected || lost;
  });
}

Decision
HoldUndecided(State& aState,
              const Settings& aSettings,
              const Packet& aPacket,
              Reason aReason,
              Base::TimePoint aNow)
{
  const bool held =
    HoldEarly(aState.mEarlyPackets, aPacket, aReason, aSettings.mOpeningLifetime, aNow);
  return Refuse(held ? Action::Hold : Action::Drop, aReason);
}

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

namespace {

/// Longer than any caller waits. A low rate limit would give a wait that no duration can hold.
constexpr double kMaxExpectedWaitSeconds = 600;

HeldOpening
MakeHeldOpening(const State& aState,
                const Settings& aSettings,
                const Flow& aFlow,
                const Packet& aPacket)
{
  HeldOpening opening;
  opening.mFlow = aPacket.mFlow;
  opening.mDatagram = std::string(aPacket.mDatagram);
  opening.mSentAt = aFlow.mOpenedAt;
  opening.mUsefulUntil = aFlow.mOpenedAt + aSettings.mOpeningLifetime;
  const auto route = aState.mRoutes.mRoutes.find(aPacket.mFlow.mService);
  if (route == aState.mRoutes.mRoutes.end()) {
    return opening;
  }
  opening.mPriority = route->second.mPriority;
  const Base::Duration objective = route->second.mLatencyObjective;
  if (objective > Base::Duration::zero()) {
    opening.mUsefulUntil =
      aFlow.mOpenedAt + objective - MeanDuration(aState.mRequests, aFlow.mService);
  }
  return opening;
}

Decision
RefuseSaturated(Action aAction, Reason aReason, const Choice& aChoice)
{
  Decision decision = Refuse(aAction, aReason);
  decision.mCandidates = aChoice.mCandidates;
  decision.mColdLimited = aChoice.mColdLimited;
  decision.mOwnFlows = aChoice.mOwnFlows;
  decision.mPeerFlows = aChoice.mPeerFlows;
  decision.mOwnLimit = aChoice.mOwnLimit;
  decision.mIsDiverted = aChoice.mIsDiverted;
  return decision;
}

/// \return the time after which it is the flow's turn, even if the other instances used none of the
/// upstreams. 0 if only cold upstreams are left that this instance may not send to.
Base::Duration
ExpectedWait(const State& aState,
             const Flow& aFlow,
             size_t aFlowsAhead,
             const Choice& aChoice,
             Base::TimePoint aNow)
{
  if (aChoice.mZoneLimit > 0) {
    return MeanDuration(aState.mRequests, aFlow.mService) * aFlowsAhead / aChoice.mZoneLimit;
  }
  const double rate = HeldRate(aState.mColdStarts, aState.mDirectory, aFlow.mService, aNow);
  if (rate <= 0) {
    return Base::Duration::zero();
  }
  const std::chrono::duration<double> wait(
    std::min(static_cast<double>(aFlowsAhead) / rate, kMaxExpectedWaitSeconds));
  return std::chrono::duration_cast<Base::Duration>(wait);
}

/// Puts the opening packet into the queue of its service, unless its turn would come only after the
/// caller has ended the attempt, even if the other instances used none of the upstreams.
Decision
HoldOpening(State& aState,
            const Settings& aSettings,
            Flow& aFlow,
            HeldOpening aOpening,
            const Choice& aChoice,
            Base::TimePoint aNow)
{
  OpeningQueue& queue = aState.mOpeningsByService[aFlow.mService];
  const Base::Duration wait =
    ExpectedWait(aState, aFlow, CountAhead(queue, aOpening, aNow), aChoice, aNow);
  if (aNow + wait > aOpening.mSentAt + aSettings.mOpeningLifetime ||
      Size(queue) >= kMaxHeldOpenings) {
    return RefuseSaturated(ActionForUnserved(aFlow), Reason::Overloaded, aChoice);
  }
  aFlow.mHeld = true;
  Hold(queue, std::move(aOpening));
  return RefuseSaturated(Action::Hold, Reason::Saturated, aChoice);
}

Decision
AssignOrHold(State& aState,
             const Settings& aSettings,
             Flow& aFlow,
             const Packet& aPacket,
             Reason aReason,
             Base::TimePoint aNow)
{
  HeldOpening opening = MakeHeldOpening(aState, aSettings, aFlow, aPacket);
  const Choice choice = ChooseFor(aState, aSettings, aFlow, aNow > opening.mUsefulUntil, aNow);
  // A packet must not overtake held ones that go before it.
  const auto queue = aState.mOpeningsByService.find(aFlow.mService);
  const bool mustWait =
    queue != aState.mOpeningsByService.end() && CountAhead(queue->second, opening, aNow) > 0;
  return choice.mSaturated || (mustWait && choice.mOwnLimit > 0)
           ? HoldOpening(aState, aSettings, aFlow, std::move(opening), choice, aNow)
           : Assign(aState, aSettings, aFlow, choice, aReason, aNow);
}

Decision
SteerRepeatedOpening(State& aState,
                     const Settings& aSettings,
                     Flow& aFlow,
                     const Packet& aPacket,
                     Base::TimePoint aNow)
{
  if (aFlow.mConfirmed) {
    const Directory::MergedUpstream* upstream = Directory::Find(aState.mDirectory, aFlow.mTag);
    if (upstream == nullptr) {
      return Refuse(Action::Drop, Reason::UnknownTag);
    }
    // The caller has the answer already, so its copy can be dropped to stay within the rate limit.
    if (!AllowsOpening(aState.mColdStarts, *upstream, aNow)) {
      Decision decision = Refuse(Action::Drop, Reason::Saturated);
      decision.mColdLimited = 1;
      return decision;
    }
    RecordOpening(aState.mColdStarts, *upstream, aNow);
    return ForwardTo(aState, *upstream, Reason::RepeatedOpening, aNow);
  }
  if (aFlow.mHeld) {
    return Refuse(Action::Hold, Reason::Saturated);
  }
  RecordUnansweredOpening(aState, aFlow, aNow);
  return AssignOrHold(aState, aSettings, aFlow, aPacket, Reason::RepeatedOpening, aNow);
}

} // namespace

Decision
SteerOpening(State& aState, const Settings& aSettings, const Packet& aPacket, Base::TimePoint aNow)
{
  const auto known = aState.mFlows.mFlows.find(aPacket.mFlow);
  if (known != aState.mFlows.mFlows.end()) {
    if (known->second.mSequence == aPacket.mSequence) {
      known->second.mLastPacketAt = aNow;
      return SteerRepeatedOpening(aState, aSettings, known->second, aPacket, aNow);
    }
    RemoveFromLoad(aState.mLoads, known->second);
    aState.mFlows.mFlows.erase(known);
  }
  if (aState.mRoutes.mVersion == 0) {
    return HoldUndecided(aState, aSettings, aPacket, Reason::NotStarted, aNow);
  }
  const auto route = aState.mRoutes.mRoutes.find(aPacket.mFlow.mService);
  if (route == aState.mRoutes.mRoutes.end()) {
    const bool fresh = aNow - aState.mConnectedAt < aSettings.mMaxConfigAge;
    return Refuse(fresh ? Action::Reset : Action::Drop, Reason::NoRoute);
  }
  Flow flow;
  flow.mService = SelectService(route->second, aState.mRandom);
  flow.mRouteVersion = aState.mRoutes.mVersion;
  flow.mIsRepeatable = route->second.mIsRepeatable;
  flow.mSequence = aPacket.mSequence;
  flow.mOpenedAt = aNow - aPacket.mAge - aPacket.mHeldFor;
  flow.mTriedElsewhere = aPacket.mAge > Base::Duration::zero();
  flow.mLastPacketAt = aNow;
  const Decision decision = AssignOrHold(aState, aSettings, flow, aPacket, Reason::NewFlow, aNow);
  if (decision.mReason == Reason::NoUpstream && decision.mAction == Action::Drop) {
    return HoldUndecided(aState, aSettings, aPacket, Reason::NoUpstream, aNow);
  }
  if (decision.mAction == Action::Forward || decision.mAction == Action::Hold) {
    if (aState.mFlows.mFlows.size() < kMaxFlows) {
      aState.mFlows.mFlows.emplace(aPacket.mFlow, std::move(flow));
    } else {
      RemoveFromLoad(aState.mLoads, flow);
    }
  }
  return decision;
}

} // namespace Internal

} // namespace Steering

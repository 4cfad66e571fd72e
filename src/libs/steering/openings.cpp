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

/// \return the decision on an opening packet that can't be forwarded now: it waits, unless its turn
/// would come only after the caller has ended the attempt, even if the other instances used none of
/// the upstreams.
Decision
DecideHold(const State& aState,
           const Settings& aSettings,
           const Flow& aFlow,
           const OpeningOutcome& aOutcome,
           size_t aFlowsAhead,
           size_t aQueueSize,
           Base::TimePoint aNow)
{
  const Base::Duration wait = ExpectedWait(aState, aFlow, aFlowsAhead, aOutcome.mChoice, aNow);
  if (aNow + wait > aOutcome.mOpening.mSentAt + aSettings.mOpeningLifetime ||
      aQueueSize >= kMaxHeldOpenings) {
    return RefuseSaturated(ActionForUnserved(aFlow), Reason::Overloaded, aOutcome.mChoice);
  }
  return RefuseSaturated(Action::Hold, Reason::Saturated, aOutcome.mChoice);
}

Decision
AssignOrHold(State& aState,
             const Settings& aSettings,
             Flow& aFlow,
             OpeningOutcome aOutcome,
             Base::TimePoint aNow)
{
  if (aOutcome.mDecision.mAction == Action::Forward) {
    ApplyAssignment(aState, aSettings, aFlow, *aOutcome.mChoice.mUpstream, aNow);
  } else if (aOutcome.mDecision.mAction == Action::Hold) {
    aFlow.mHeld = true;
    RecordSaturation(aState.mOutliers, aFlow.mService, aNow);
    Hold(aState.mOpeningsByService[aFlow.mService], std::move(aOutcome.mOpening));
  }
  return aOutcome.mDecision;
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
  ForgetSilentFlows(aState.mRequests, aState.mLoads, aState.mFlows, aState.mOutliers, aNow);
  OpeningOutcome outcome =
    DecideOpening(aState, aSettings, aFlow, aPacket, Reason::RepeatedOpening, aNow, aState.mRandom);
  return AssignOrHold(aState, aSettings, aFlow, std::move(outcome), aNow);
}

} // namespace

OpeningOutcome
DecideOpening(const State& aState,
              const Settings& aSettings,
              const Flow& aFlow,
              const Packet& aPacket,
              Reason aReason,
              Base::TimePoint aNow,
              Base::RandomSource& aRandom)
{
  OpeningOutcome outcome;
  outcome.mOpening = MakeHeldOpening(aState, aSettings, aFlow, aPacket);
  const bool late = aNow > outcome.mOpening.mUsefulUntil;
  outcome.mChoice = ChooseFor(aState, aSettings, aFlow, late, aNow, aRandom);
  const auto queue = aState.mOpeningsByService.find(aFlow.mService);
  const bool queued = queue != aState.mOpeningsByService.end();
  const size_t ahead = queued ? CountAhead(queue->second, outcome.mOpening, aNow) : 0;
  // A packet must not overtake held ones that go before it.
  const bool mustWait = ahead > 0 && outcome.mChoice.mOwnLimit > 0;
  const size_t size = queued ? Size(queue->second) : 0;
  outcome.mDecision =
    outcome.mChoice.mSaturated || mustWait
      ? DecideHold(aState, aSettings, aFlow, outcome, ahead, size, aNow)
      : DecideAssignment(aState, aSettings, aFlow, outcome.mChoice, aReason, aNow);
  return outcome;
}

std::optional<Decision>
DecideWithoutRoute(const State& aState,
                   const Settings& aSettings,
                   const Base::Endpoint& aService,
                   Base::TimePoint aNow)
{
  if (aState.mRoutes.mVersion == 0) {
    return Refuse(Action::Hold, Reason::NotStarted);
  }
  if (aState.mRoutes.mRoutes.count(aService) == 0) {
    const bool fresh = aNow - aState.mConnectedAt < aSettings.mMaxConfigAge;
    return Refuse(fresh ? Action::Reset : Action::Drop, Reason::NoRoute);
  }
  return std::nullopt;
}

NewFlowOutcome
DecideNewFlow(const State& aState,
              const Settings& aSettings,
              const Packet& aPacket,
              Base::TimePoint aNow,
              Base::RandomSource& aRandom)
{
  NewFlowOutcome outcome;
  Flow& flow = outcome.mFlow;
  const Route& route = aState.mRoutes.mRoutes.at(aPacket.mFlow.mService);
  flow.mService = SelectService(route, aRandom);
  flow.mRouteVersion = aState.mRoutes.mVersion;
  flow.mIsRepeatable = route.mIsRepeatable;
  flow.mSequence = aPacket.mSequence;
  flow.mOpenedAt = aNow - aPacket.mAge - aPacket.mHeldFor;
  flow.mTriedElsewhere = aPacket.mAge > Base::Duration::zero();
  flow.mLastPacketAt = aNow;
  outcome.mOpening =
    DecideOpening(aState, aSettings, flow, aPacket, Reason::NewFlow, aNow, aRandom);
  Decision& decision = outcome.mOpening.mDecision;
  if (decision.mReason == Reason::NoUpstream && decision.mAction == Action::Drop) {
    decision = Refuse(Action::Hold, Reason::NoUpstream);
  }
  return outcome;
}

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
  const std::optional<Decision> refusal =
    DecideWithoutRoute(aState, aSettings, aPacket.mFlow.mService, aNow);
  if (refusal.has_value()) {
    return IsHeldEarly(*refusal) ? HoldUndecided(aState, aSettings, aPacket, refusal->mReason, aNow)
                                 : *refusal;
  }
  ForgetSilentFlows(aState.mRequests, aState.mLoads, aState.mFlows, aState.mOutliers, aNow);
  NewFlowOutcome outcome = DecideNewFlow(aState, aSettings, aPacket, aNow, aState.mRandom);
  if (IsHeldEarly(outcome.mOpening.mDecision)) {
    return HoldUndecided(aState, aSettings, aPacket, outcome.mOpening.mDecision.mReason, aNow);
  }
  Flow& flow = outcome.mFlow;
  const Decision decision =
    AssignOrHold(aState, aSettings, flow, std::move(outcome.mOpening), aNow);
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

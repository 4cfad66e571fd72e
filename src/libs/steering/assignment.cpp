#include "steering/assignment.h"

#include "steering/openings.h"

#include <algorithm>

namespace Steering::Internal {

namespace {

/// \return true if the service has ready upstreams in this instance's availability zone, and the
/// zone is evacuated.
bool
IsDiverted(const State& aState, const Settings& aSettings, const std::string& aService)
{
  const std::string& zone = aSettings.mAvailabilityZone;
  return IsEvacuated(aState.mEvacuations, zone) &&
         !Directory::UpstreamsIn(aState.mDirectory, aService, zone).mReady.empty();
}

} // namespace

ChoiceInput
MakeChoiceInput(const State& aState,
                const Settings& aSettings,
                const Flow& aFlow,
                bool aIsLate,
                Base::TimePoint aNow)
{
  const ZonePosition position = PositionOf(aState.mReports, aState.mInstance);
  const Base::Duration interval = ReportInterval(aState.mInstances);
  const Base::Duration mean = MeanDuration(aState.mRequests, aFlow.mService);
  return { aState.mDirectory,
           aState.mLoads,
           aState.mEvacuations,
           aFlow.mService,
           aSettings.mAvailabilityZone,
           aFlow.mTriedUpstreams,
           aSettings.mLease,
           aNow,
           aState.mInstances,
           aIsLate,
           aState.mColdStarts.mRates.empty() ? nullptr : &aState.mColdStarts,
           position,
           position.mInstances > 1 ? ReportWeight(interval, mean) : 1,
           ViewFor(aState.mOutliers, aFlow.mService, aFlow.mIsRepeatable) };
}

Choice
ChooseFor(const State& aState,
          const Settings& aSettings,
          const Flow& aFlow,
          bool aIsLate,
          Base::TimePoint aNow,
          Base::RandomSource& aRandom)
{
  const ChoiceInput input = MakeChoiceInput(aState, aSettings, aFlow, aIsLate, aNow);
  Choice choice = ChooseUpstream(input, aRandom);
  choice.mIsDiverted = IsDiverted(aState, aSettings, aFlow.mService);
  return choice;
}

Action
ActionForUnserved(const Flow& aFlow)
{
  return aFlow.mTriedUpstreams.empty() ? Action::Reset : Action::Drop;
}

Decision
DecideAssignment(const State& aState,
                 const Settings& aSettings,
                 const Flow& aFlow,
                 const Choice& aChoice,
                 Reason aReason,
                 Base::TimePoint aNow)
{
  if (aChoice.mUpstream == nullptr) {
    // Before the directory is complete, an unknown upstream may be able to serve the flow.
    const bool complete = IsDirectoryComplete(aState, aSettings, aNow);
    Decision refusal =
      Refuse(complete ? ActionForUnserved(aFlow) : Action::Drop, Reason::NoUpstream);
    refusal.mIsDiverted = aChoice.mIsDiverted;
    return refusal;
  }
  Decision decision = ForwardTo(aState, *aChoice.mUpstream, aReason, aNow);
  decision.mCandidates = aChoice.mCandidates;
  decision.mColdLimited = aChoice.mColdLimited;
  decision.mOutstanding = aChoice.mOutstanding;
  decision.mIsDiverted = aChoice.mIsDiverted;
  return decision;
}

void
ApplyAssignment(State& aState,
                const Settings& aSettings,
                Flow& aFlow,
                const Directory::MergedUpstream& aUpstream,
                Base::TimePoint aNow)
{
  RemoveFromLoad(aState.mLoads, aFlow);
  aFlow.mHeld = false;
  aFlow.mTag = aUpstream.mTag;
  if (std::find(aFlow.mTriedUpstreams.begin(), aFlow.mTriedUpstreams.end(), aFlow.mTag) ==
      aFlow.mTriedUpstreams.end()) {
    aFlow.mTriedUpstreams.push_back(aFlow.mTag);
  }
  aFlow.mForwardedAt = aNow;
  aFlow.mUnansweredRecorded = false;
  const std::string& zone = aUpstream.mUpstream.mAvailabilityZone;
  aFlow.mRemoteZone = zone == aSettings.mAvailabilityZone ? std::string() : zone;
  AddToLoad(aState.mLoads, aFlow);
  RecordAssignment(aState.mOutliers, aFlow.mTag, aNow);
  RecordOpening(aState.mColdStarts, aUpstream, aNow);
  aState.mLoads.mByTag[aFlow.mTag].mLastChosenAt = aNow;
}

Decision
Assign(State& aState,
       const Settings& aSettings,
       Flow& aFlow,
       const Choice& aChoice,
       Reason aReason,
       Base::TimePoint aNow)
{
  const Decision decision = DecideAssignment(aState, aSettings, aFlow, aChoice, aReason, aNow);
  if (aChoice.mUpstream != nullptr) {
    ApplyAssignment(aState, aSettings, aFlow, *aChoice.mUpstream, aNow);
  }
  return decision;
}

} // namespace Steering::Internal

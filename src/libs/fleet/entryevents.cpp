#include "fleet/entryevents.h"

#include "absl/strings/str_cat.h"

#include <chrono>
#include <cmath>

namespace Fleet {

namespace {

int64_t
Milliseconds(Base::Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aDuration).count();
}

std::string
FlowName(const Steering::FlowKey& aFlow)
{
  return absl::StrCat(Base::ToString(aFlow.mCaller), ">", Base::ToString(aFlow.mService));
}

} // namespace

EventLog::Line
DecisionLine(const Steering::State& aState,
             const Steering::FlowKey& aFlow,
             Directory::RouteTag aTag,
             const Steering::Decision& aDecision,
             Base::TimePoint aNow)
{
  EventLog::Line line(Steering::ToString(aDecision.mReason));
  line.Add("flow", FlowName(aFlow))
    .Add("action", Steering::ToString(aDecision.mAction))
    .Add("config_version", static_cast<int64_t>(aState.mRoutes.mVersion));
  if (aState.mConnectedAt != Base::TimePoint()) {
    line.Add("control_age_ms", Milliseconds(aNow - aState.mConnectedAt));
  }
  if (aDecision.mAction == Steering::Action::Forward) {
    line.Add("upstream", absl::StrCat(absl::Hex(aDecision.mUpstream.mValue)))
      .Add("address", Base::ToString(aDecision.mAddress))
      .Add("candidates", static_cast<int64_t>(aDecision.mCandidates))
      .Add("outstanding", aDecision.mOutstanding)
      .Add("announced_age_ms", Milliseconds(aDecision.mDirectoryAge));
  } else if (aDecision.mOwnLimit > 0) {
    line.Add("candidates", static_cast<int64_t>(aDecision.mCandidates))
      .Add("own_flows", aDecision.mOwnFlows)
      .Add("peer_flows", aDecision.mPeerFlows)
      .Add("own_limit", aDecision.mOwnLimit);
  } else if (aDecision.mColdLimited == 0) {
    line.Add("tag", aTag.mValue);
  }
  if (aDecision.mColdLimited > 0) {
    line.Add("cold_limited", static_cast<int64_t>(aDecision.mColdLimited));
  }
  return line;
}

EventLog::Line
UpstreamLine(const lw::fleet::Upstream& aUpstream, const std::string& aControl)
{
  EventLog::Line line("upstream");
  line.Add("upstream", absl::StrCat(absl::Hex(aUpstream.id())))
    .Add("started_at_ms", static_cast<int64_t>(aUpstream.started_at_ms()))
    .Add("state", lw::fleet::UpstreamState_Name(aUpstream.state()))
    .Add("silent", aUpstream.silent() ? 1 : 0)
    .Add("age_ms", aUpstream.age_ms())
    .Add("control", aControl);
  return line;
}

EventLog::Line
PresenceLine(const lw::fleet::Presence& aPresence, const std::string& aControl)
{
  EventLog::Line line(aPresence.silent() ? "upstream_silent" : "upstream_heard");
  line.Add("tag", aPresence.tag()).Add("age_ms", aPresence.age_ms()).Add("control", aControl);
  return line;
}

EventLog::Line
OutlierLine(const Steering::OutlierChange& aChange)
{
  constexpr double kPermille = 1000;
  EventLog::Line line(aChange.mIsEjected ? "upstream_ejected" : "upstream_restored");
  line.Add("tag", aChange.mTag.mValue)
    .Add("upstream", absl::StrCat(absl::Hex(aChange.mUpstream.mValue)))
    .Add("answered", aChange.mAnswered)
    .Add("unanswered", aChange.mUnanswered)
    .Add("others_permille", std::llround(aChange.mShareOfOthers * kPermille));
  if (aChange.mIsEjected) {
    line.Add("for_ms", Milliseconds(aChange.mDuration));
  }
  return line;
}

} // namespace Fleet

#include "requests/policy.h"

#include "requests/attempts.h"
#include "requests/replies.h"

#include <algorithm>

namespace Requests::Internal {

namespace {

// A leaving upstream must get no new work after 3 s. Its announcement takes up to 1 s to get here,
// and the second that remains lets the last request finish.
constexpr std::chrono::seconds kDrainGrace{ 1 };

} // namespace

void
SetPolicy(UpstreamQueue& aQueue,
          const std::shared_ptr<const Config::ServiceView>& aService,
          const KnownClients& aClients)
{
  aQueue.mService = aService;
  aQueue.mPolicy = Admission::Policy();
  for (const lw::config::WorkKind& kind : aService->mDefinition.work_kinds()) {
    aQueue.mPolicy.mKinds.push_back({ kind.name(), kind.share_permille(), kind.urgency() });
  }
  for (const lw::config::ClientTerms& client : aService->mDefinition.clients()) {
    const Terms::Entitlement entitlement = KnownEntitlement(aClients, *aService, client);
    aQueue.mPolicy.mClients.push_back(
      { client.client(), entitlement.mShare.mValue, entitlement.mSurgeAllowance });
  }
}

bool
HasKind(const Config::ServiceView& aService, const std::string& aKind)
{
  const auto& kinds = aService.mDefinition.work_kinds();
  return kinds.empty() ||
         std::any_of(kinds.begin(), kinds.end(), [&aKind](const lw::config::WorkKind& aOther) {
           return aOther.name() == aKind;
         });
}

void
ReportUpstream(UpstreamQueue& aQueue, const UpstreamKey& aKey, const Context& aContext)
{
  const Membership::Upstream* upstream =
    Membership::FindUpstream(aContext.mView, aKey.mEndpoint, aKey.mGeneration);
  if (upstream == nullptr || upstream->mLeaseEnd == aQueue.mReportedLeaseEnd) {
    return;
  }
  aQueue.mReportedLeaseEnd = upstream->mLeaseEnd;
  Admission::Report(aQueue.mScheduler, upstream->mSlots, upstream->mLoad, aContext.mNow);
}

void
NoteDraining(UpstreamQueue& aQueue, const UpstreamKey& aKey, const Context& aContext, bool aIsNew)
{
  const Membership::Upstream* upstream =
    Membership::FindUpstream(aContext.mView, aKey.mEndpoint, aKey.mGeneration);
  if (upstream == nullptr || upstream->mState != Membership::UpstreamState::Draining) {
    aQueue.mClosedFrom.reset();
  } else if (!aQueue.mClosedFrom.has_value()) {
    // It is not known how long an upstream without requests has been draining.
    aQueue.mClosedFrom = aIsNew ? aContext.mNow : aContext.mNow + kDrainGrace;
  }
}

bool
TakesRequests(const UpstreamQueue& aQueue, const UpstreamKey& aKey, const Context& aContext)
{
  const Membership::Upstream* upstream =
    Membership::FindUpstream(aContext.mView, aKey.mEndpoint, aKey.mGeneration);
  const bool isClosed = aQueue.mClosedFrom.has_value() && aContext.mNow >= *aQueue.mClosedFrom;
  return upstream != nullptr && !isClosed && Membership::IsUsable(*upstream, aContext.mNow);
}

bool
TakeRetryFor(Work& aWork, const Call& aCall)
{
  const auto queue = aWork.mState.mQueues.find(aCall.mUpstream);
  if (queue == aWork.mState.mQueues.end() || queue->second.mService == nullptr) {
    return false;
  }
  RetryBudget& budget = aWork.mState.mRetryBudgets[queue->second.mService->mName];
  const bool isAllowed =
    TakeRetry(budget, aWork.mContext.mSettings.mRetryPermille, aWork.mContext.mNow);
  CountEvent(aWork.mEffects, isAllowed ? Event::Retried : Event::RetryBudgetSpent);
  return isAllowed;
}

} // namespace Requests::Internal

#include "requests/policy.h"

#include "requests/attempts.h"
#include "requests/replies.h"

#include <algorithm>

namespace Requests::Internal {

namespace {

// A draining upstream must not receive new work after 3 s. Up to 1 s passes until its announcement
// arrives here, and another second is left for the last request to finish.
constexpr std::chrono::seconds kDrainGracePeriod{ 1 };

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
    const Terms::Entitlement entitlement = FindEntitlement(aClients, *aService, client);
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
UpdateDraining(UpstreamQueue& aQueue, const UpstreamKey& aKey, const Context& aContext, bool aIsNew)
{
  const Membership::Upstream* upstream =
    Membership::FindUpstream(aContext.mView, aKey.mEndpoint, aKey.mGeneration);
  if (upstream == nullptr || upstream->mState != Membership::UpstreamState::Draining) {
    aQueue.mClosedAt.reset();
  } else if (!aQueue.mClosedAt.has_value()) {
    // A new queue closes at once, because it is unknown how long the upstream has been draining.
    aQueue.mClosedAt = aIsNew ? aContext.mNow : aContext.mNow + kDrainGracePeriod;
  }
}

bool
TakesRequests(const UpstreamQueue& aQueue, const UpstreamKey& aKey, const Context& aContext)
{
  const Membership::Upstream* upstream =
    Membership::FindUpstream(aContext.mView, aKey.mEndpoint, aKey.mGeneration);
  const bool isClosed = aQueue.mClosedAt.has_value() && aContext.mNow >= *aQueue.mClosedAt;
  return upstream != nullptr && !isClosed && Membership::IsUsable(*upstream, aContext.mNow);
}

bool
TakeRetryFromBudget(HandlerContext& aHandler, const Call& aCall)
{
  const auto queue = aHandler.mState.mQueues.find(aCall.mUpstream);
  if (queue == aHandler.mState.mQueues.end() || queue->second.mService == nullptr) {
    return false;
  }
  RetryBudget& budget = aHandler.mState.mRetryBudgets[queue->second.mService->mName];
  const bool isAllowed =
    TakeRetry(budget, aHandler.mContext.mSettings.mRetryPermille, aHandler.mContext.mNow);
  CountEvent(aHandler.mEffects, isAllowed ? Event::Retried : Event::RetryBudgetSpent);
  return isAllowed;
}

} // namespace Requests::Internal

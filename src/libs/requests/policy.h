#pragma once

#include "requests/state.h"

#include <memory>
#include <string>

namespace Requests::Internal {

struct Work;

/// Makes the queue's policy from the definition of its service and the terms that clients have
/// shown.
void
SetPolicy(UpstreamQueue& aQueue,
          const std::shared_ptr<const Config::ServiceView>& aService,
          const KnownClients& aClients);

/// \return true if the service has this kind of work, or names no kinds.
bool
HasKind(const Config::ServiceView& aService, const std::string& aKind);

/// Tells the scheduler what the upstream reports, once for each renewal of its lease, so that the
/// scheduler can tell how old the report is.
void
ReportUpstream(UpstreamQueue& aQueue, const UpstreamKey& aKey, const Context& aContext);

/// Notes when a draining upstream must get no more requests.
/// \param aIsNew tells that the queue has just been made, so that no request was waiting for it.
void
NoteDraining(UpstreamQueue& aQueue, const UpstreamKey& aKey, const Context& aContext, bool aIsNew);

/// \return true if requests may be sent to the upstream now.
bool
TakesRequests(const UpstreamQueue& aQueue, const UpstreamKey& aKey, const Context& aContext);

/// Takes a retry from the budget of the call's service and counts the result.
/// \return false if the budget is spent.
bool
TakeRetryFor(Work& aWork, const Call& aCall);

} // namespace Requests::Internal

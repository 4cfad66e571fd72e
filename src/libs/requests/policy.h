#pragma once

#include "requests/state.h"

#include <memory>
#include <string>

namespace Requests::Internal {

struct HandlerContext;

/// Builds the policy of a queue from the service definition and the stored terms of its clients.
void
SetPolicy(UpstreamQueue& aQueue,
          const std::shared_ptr<const Config::ServiceView>& aService,
          const KnownClients& aClients);

/// \return true if the service defines this kind of work, or defines no kinds at all.
bool
HasKind(const Config::ServiceView& aService, const std::string& aKind);

/// Passes the load report of the upstream to the scheduler, once per lease renewal, so that the
/// scheduler knows the age of the report.
void
ReportUpstream(UpstreamQueue& aQueue, const UpstreamKey& aKey, const Context& aContext);

/// Sets or resets the time at which the queue of a draining upstream closes.
/// \param aIsNew is true if the queue was just created, so that no requests are waiting in it.
void
UpdateDraining(UpstreamQueue& aQueue,
               const UpstreamKey& aKey,
               const Context& aContext,
               bool aIsNew);

/// \return true if requests may currently be sent to the upstream.
bool
TakesRequests(const UpstreamQueue& aQueue, const UpstreamKey& aKey, const Context& aContext);

/// Takes a retry from the budget of the call's service and counts the result.
/// \return false if the budget is exhausted.
bool
TakeRetryFromBudget(HandlerContext& aHandler, const Call& aCall);

} // namespace Requests::Internal

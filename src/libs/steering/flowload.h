#pragma once

#include "steering/flowtable.h"
#include "steering/loadtable.h"

#include <string>
#include <unordered_map>

namespace Steering {

/// Mean duration of the flows of each service, from the opening packet to the caller's last one.
/// Holds one entry for each service that had a flow here. After a restart it is measured again.
struct FlowDurations
{
  std::unordered_map<std::string, Base::Duration> mMeans;
};

/// Counts the flow in the load of its upstream, unless it is counted already.
void
AddToLoad(LoadTable& aLoads, Flow& aFlow);

/// Removes the flow from the load of its upstream, if it is counted there.
void
RemoveFromLoad(LoadTable& aLoads, Flow& aFlow);

/// Records that the caller closed the flow.
void
RecordDuration(FlowDurations& aDurations, const Flow& aFlow, Base::TimePoint aNow);

/// \return the mean duration of the service's flows, or 0 if none has closed yet.
Base::Duration
MeanDuration(const FlowDurations& aDurations, const std::string& aService);

/// \return the time without packets after which a flow of the service no longer counts as load. The
/// end of a flow is not seen here if the upstream resets it or the caller gives up silently. Such
/// flows must stop counting soon, or new flows avoid an idle upstream.
Base::Duration
SilenceLimit(const FlowDurations& aDurations, const std::string& aService);

} // namespace Steering

#pragma once

#include "steering/flowtable.h"
#include "steering/loadtable.h"
#include "steering/outliers.h"

#include <deque>
#include <string>
#include <unordered_map>

namespace Steering {

/// A flow with a request in progress, in the order in which the requests were sent.
struct BusyFlow
{
  FlowKey mFlow;
  Base::TimePoint mRequestAt;
};

/// Requests of one service in progress at this instance.
struct ServiceRequests
{
  /// Mean time from a request to its answer, or 0 before the first answer. The answers do not pass
  /// this instance. They show by the caller's next packet without data.
  Base::Duration mMeanDuration{};
  /// Has an entry for each request that was sent within the silence limit.
  std::deque<BusyFlow> mBusyFlows;
};

/// Requests by service, one entry for each service that had a flow here. After a restart they are
/// measured again.
using RequestTable = std::unordered_map<std::string, ServiceRequests>;

/// Counts the flow in the load of its upstream, unless it is counted already.
void
AddToLoad(LoadTable& aLoads, Flow& aFlow);

/// Removes the flow from the load of its upstream, if it is counted there.
void
RemoveFromLoad(LoadTable& aLoads, Flow& aFlow);

/// Records that the caller sent a request or opened the flow to send one.
void
StartRequest(RequestTable& aRequests,
             LoadTable& aLoads,
             const FlowKey& aKey,
             Flow& aFlow,
             Base::TimePoint aNow);

/// Records that the caller received the answer to its request.
void
FinishRequest(RequestTable& aRequests, LoadTable& aLoads, Flow& aFlow, Base::TimePoint aNow);

/// Records for outlier ejection that the caller sent a packet with data. If it begins a request,
/// the answer to the previous one has arrived. To be called before mHasSentData is set.
void
RecordData(Outliers& aOutliers, Flow& aFlow, uint32_t aSequence, Base::TimePoint aNow);

/// Records for outlier ejection that the answer to the flow's request has arrived.
void
RecordAnswerTo(Outliers& aOutliers, Flow& aFlow, Base::TimePoint aNow);

/// \return the mean time from a request of the service to its answer, or 0 if it is not known.
Base::Duration
MeanDuration(const RequestTable& aRequests, const std::string& aService);

/// Removes the flows from the load whose answer should have come long ago. The end of a request is
/// not seen here if the upstream resets the flow, the caller gives up silently, or the caller does
/// not acknowledge a short answer. Such flows must stop counting soon, or new flows avoid an idle
/// upstream. Their requests are unanswered requests for outlier ejection.
void
ForgetSilentFlows(RequestTable& aRequests,
                  LoadTable& aLoads,
                  FlowTable& aFlows,
                  Outliers& aOutliers,
                  Base::TimePoint aNow);

} // namespace Steering

#pragma once

#include "base/runtimeclock.h"
#include "requests/ticket.h"
#include "requests/window.h"

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <string>
#include <unordered_map>

namespace Requests {

/// A request flow. mOrigin is the run named in its ticket, which differs from the owner after a
/// handover.
struct Flow
{
  Base::FlowNumber mNumber;
  Run mOrigin;
  FlowAddresses mAddresses;
  Base::Endpoint mUpstream;
  Base::ServiceGeneration mGeneration;
  std::string mClient;
  Window mWindow;
  /// Requests that are queued or dispatched.
  uint32_t mOpenCalls = 0;
  Base::TimePoint mLastUsed;
  std::list<Base::FlowNumber>::iterator mPosition;
};

/// Identifies an OpenFlow message, including its retransmissions.
struct OpenKey
{
  Base::Endpoint mCaller;
  Base::Endpoint mService;
  uint64_t mOpenId = 0;
};

bool
operator<(const OpenKey& aLeft, const OpenKey& aRight);

/// Flows of one dispatcher shard. A flow is owned by the run named in its ticket or, after a
/// handover, by the successor of that run. The table size is limited by Limits. If the owner fails,
/// its flows are lost and callers receive OUTCOME_UNKNOWN for their requests.
struct FlowTable
{
  std::unordered_map<Base::FlowNumber, Flow> mFlows;
  /// Flow numbers from the least to the most recently used.
  std::list<Base::FlowNumber> mLruOrder;

  struct Opened
  {
    Base::FlowNumber mFlow;
    Base::TimePoint mExpiry;
  };
  /// Recently answered OpenFlow messages, so that a retransmission does not open a second flow.
  std::map<OpenKey, Opened> mRecentOpens;
  std::deque<OpenKey> mRecentOpenOrder;
};

/// \return the flow, or nullptr.
Flow*
FindFlow(FlowTable& aTable, Base::FlowNumber aNumber);

/// Adds a flow whose number is not in the table.
Flow&
AddFlow(FlowTable& aTable, Flow aFlow, Base::TimePoint aNow);

/// Marks a flow as most recently used.
void
TouchFlow(FlowTable& aTable, Flow& aFlow, Base::TimePoint aNow);

void
RemoveFlow(FlowTable& aTable, Base::FlowNumber aNumber);

/// Finds the flow that was opened within the last seconds by an earlier copy of an OpenFlow. A flow
/// that has already received a request is not returned, because the caller may have restarted and
/// reused the open id.
/// \return the flow, or nullptr.
Flow*
FindOpened(FlowTable& aTable, const OpenKey& aKey, Base::TimePoint aNow);

void
RememberOpened(FlowTable& aTable,
               const OpenKey& aKey,
               Base::FlowNumber aFlow,
               Base::TimePoint aNow);

/// Removes flows that have no open requests and were idle for aIdle, and expired entries of
/// mRecentOpens.
void
DropIdleFlows(FlowTable& aTable, Base::Duration aIdle, Base::TimePoint aNow);

} // namespace Requests

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

/// A request flow. Its ticket names mOrigin, which differs from the owner after a handover.
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

/// Identifies an OpenFlow message and its copies.
struct OpenKey
{
  Base::Endpoint mCaller;
  Base::Endpoint mService;
  uint64_t mOpenId = 0;
};

bool
operator<(const OpenKey& aLeft, const OpenKey& aRight);

/// Flows of one dispatcher shard. Owned by the run that the tickets name, or by its successor after
/// a handover. Bounded by the settings; lost with the owner, whose requests then get "outcome
/// unknown".
struct FlowTable
{
  std::unordered_map<Base::FlowNumber, Flow> mFlows;
  /// Flow numbers from the longest idle to the last used.
  std::list<Base::FlowNumber> mByUse;

  struct Opened
  {
    Base::FlowNumber mFlow;
    Base::TimePoint mExpiry;
  };
  /// Recently answered OpenFlow messages, so that a copy does not take a second place in the table.
  std::map<OpenKey, Opened> mOpens;
  std::deque<OpenKey> mOpenOrder;
};

/// \return the flow, or nullptr.
Flow*
FindFlow(FlowTable& aTable, Base::FlowNumber aNumber);

/// Adds a flow whose number is not in the table.
Flow&
AddFlow(FlowTable& aTable, Flow aFlow, Base::TimePoint aNow);

/// Marks a flow as just used.
void
TouchFlow(FlowTable& aTable, Flow& aFlow, Base::TimePoint aNow);

void
RemoveFlow(FlowTable& aTable, Base::FlowNumber aNumber);

/// Finds the flow that an earlier copy of an OpenFlow opened a few seconds ago. A flow that has
/// seen a request is not returned: the caller may have restarted and use the same open id again.
/// \return the flow, or nullptr.
Flow*
FindOpened(FlowTable& aTable, const OpenKey& aKey, Base::TimePoint aNow);

void
RememberOpened(FlowTable& aTable,
               const OpenKey& aKey,
               Base::FlowNumber aFlow,
               Base::TimePoint aNow);

/// Drops flows without open requests that were not used for aIdle, and expired copies of opens.
void
DropIdleFlows(FlowTable& aTable, Base::Duration aIdle, Base::TimePoint aNow);

} // namespace Requests

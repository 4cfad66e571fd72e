#pragma once

#include "eventlog/line.h"
#include "steering/steering.h"

#include "fleet.pb.h"

#include <string>

namespace Fleet {

/// Event lines of an entry instance (docs/OPERATIONS.md).

/// \return the line for a decision on a packet, with the values that it was based on.
/// \param aTag is the tag in the packet.
EventLog::Line
DecisionLine(const Steering::State& aState,
             const Steering::FlowKey& aFlow,
             Directory::RouteTag aTag,
             const Steering::Decision& aDecision,
             Base::TimePoint aNow);

/// \return the line for an upstream that a control instance reported.
EventLog::Line
UpstreamLine(const lw::fleet::Upstream& aUpstream, const std::string& aControl);

/// \return the line for an upstream whose announcements a control instance lost or regained.
EventLog::Line
PresenceLine(const lw::fleet::Presence& aPresence, const std::string& aControl);

/// \return the line for an upstream whose ejection has begun or ended.
EventLog::Line
OutlierLine(const Steering::OutlierChange& aChange);

} // namespace Fleet

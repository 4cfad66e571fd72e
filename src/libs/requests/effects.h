#pragma once

#include "base/endpoint.h"
#include "base/ids.h"
#include "requests/event.h"
#include "requests/ticket.h"

#include <string>
#include <vector>

namespace Requests {

/// Classifies a packet to a caller for the counters of the service.
enum class ReplyKind
{
  Other,
  /// Last piece of an answer.
  Answered,
  NotRun,
  /// OUTCOME_UNKNOWN or FLOW_GONE.
  Lost
};

/// An encoded lw.caller.EntryPacket.
struct ToCaller
{
  FlowAddresses mAddresses;
  std::string mPayload;
  ReplyKind mKind = ReplyKind::Other;
};

/// An encoded lw.upstream.ToUpstream.
struct ToUpstream
{
  Base::Endpoint mUpstream;
  FlowAddresses mAddresses;
  std::string mPayload;
};

/// An encoded lw.requestpeer.RequestPeerPacket.
struct ToPeer
{
  Base::InstanceId mInstance;
  std::string mPayload;
};

/// Packets to send and events to count, returned by the functions of this library.
struct Effects
{
  std::vector<ToCaller> mToCallers;
  std::vector<ToUpstream> mToUpstreams;
  std::vector<ToPeer> mToPeers;
  std::vector<Event> mEvents;
};

} // namespace Requests

#pragma once

#include "base/endpoint.h"
#include "base/ids.h"
#include "requests/event.h"
#include "requests/ticket.h"

#include <string>
#include <vector>

namespace Requests {

/// What a packet to a caller says of a request, for the counters of its service.
enum class ReplyKind
{
  Other,
  /// The last piece of an answer.
  Answered,
  NotRun,
  /// "outcome unknown" or "flow gone".
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

/// What the program must do after a call: send these packets, count these events.
struct Effects
{
  std::vector<ToCaller> mToCallers;
  std::vector<ToUpstream> mToUpstreams;
  std::vector<ToPeer> mToPeers;
  std::vector<Event> mEvents;
};

} // namespace Requests

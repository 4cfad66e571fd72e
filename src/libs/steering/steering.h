#pragma once

#include "base/random.h"
#include "directory/mergeddirectory.h"
#include "steering/choice.h"
#include "steering/flowtable.h"
#include "steering/loadreports.h"
#include "steering/loadtable.h"
#include "steering/routetable.h"

#include <optional>
#include <string>

namespace Steering {

/// What a packet of a caller means for its flow.
enum class PacketKind
{
  /// Opens a flow, or repeats the attempt.
  Opening,
  MidFlow,
  /// The caller sends nothing more after it.
  Closing,
  /// The caller gives up the flow.
  Abort,
  /// No caller sends such a packet.
  Foreign
};

/// The parts of a caller's packet that decide where it goes.
struct Packet
{
  FlowKey mFlow;
  PacketKind mKind = PacketKind::Foreign;
  /// Names the upstream that last answered on the flow; 0 before an answer.
  Directory::RouteTag mTag;
  bool mCarriesData = false;
  /// Sequence number of an opening packet; a repeated one carries the same.
  uint32_t mSequence = 0;
};

enum class Action
{
  Forward,
  /// The caller is told at once that nothing has run.
  Reset,
  Drop
};

enum class Reason
{
  NewFlow,
  RepeatedOpening,
  Tagged,
  NoRoute,
  NoUpstream,
  NotStarted,
  UnknownTag,
  UpstreamGone,
  UpstreamRestarted,
  Malformed
};

const char*
ToString(Action aAction);
const char*
ToString(Reason aReason);

/// Where a packet goes, with the figures that decided it.
struct Decision
{
  Action mAction = Action::Drop;
  Reason mReason = Reason::Malformed;
  Directory::RouteTag mTag;
  Directory::UpstreamId mUpstream;
  Base::Endpoint mAddress;
  size_t mCandidates = 0;
  uint32_t mOutstanding = 0;
  /// Since the newest announcement of the upstream.
  Base::Duration mDirectoryAge{};
  /// With the caller's first packet on an open flow: the time since its opening packet.
  std::optional<Base::Duration> mHandshake;
};

struct Settings
{
  std::string mAvailabilityZone;
  /// An upstream that was not heard of for this long is used only when no other is left.
  Base::Duration mLease{};
  /// Without news from a connected control instance for this long, an unknown route may be a new
  /// one.
  Base::Duration mConfigTrust{};
};

/// State of the packet path of an entry instance. Owned by its thread; see the parts for bounds and
/// recovery.
struct State
{
  RouteTable mRoutes;
  Directory::MergedDirectory mDirectory;
  FlowTable mFlows;
  LoadTable mLoads;
  PeerReports mReports;
  Base::RandomSource mRandom;
  /// Last reply of a control instance that was connected to the leader of the log.
  Base::TimePoint mConnectedAt;
  Base::TimePoint mFirstReplyAt;
};

/// Decides where a packet goes.
Decision
Steer(State& aState, const Settings& aSettings, const Packet& aPacket, Base::TimePoint aNow);

/// Takes the reply of a control instance.
/// \return true if a new configuration is in force.
bool
TakeReply(State& aState,
          Base::InstanceId aControl,
          const lw::fleet::PollReply& aReply,
          Base::TimePoint aNow);

/// Ends flows that fell silent and forgets reports and upstreams that are out of date. To be called
/// about every 100 ms.
void
Expire(State& aState, Base::TimePoint aNow);

/// \return true once packets can be steered: a configuration and upstreams are known.
bool
IsReady(const State& aState);

} // namespace Steering

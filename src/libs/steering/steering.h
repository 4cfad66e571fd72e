#pragma once

#include "base/random.h"
#include "directory/mergeddirectory.h"
#include "steering/choice.h"
#include "steering/flowload.h"
#include "steering/flowtable.h"
#include "steering/loadreports.h"
#include "steering/loadtable.h"
#include "steering/routetable.h"

#include <optional>
#include <string>

namespace Steering {

/// Role of a caller's packet in its flow.
enum class PacketKind
{
  /// Opens a flow, or is a retransmission of the packet that does.
  Opening,
  MidFlow,
  /// The last packet that the caller sends.
  Closing,
  /// The caller aborts the flow.
  Abort,
  /// Not a packet that a caller sends.
  Invalid
};

/// The parts of a caller's packet that steering depends on.
struct Packet
{
  FlowKey mFlow;
  PacketKind mKind = PacketKind::Invalid;
  /// Tag of the upstream that last answered on the flow, or 0 before the first answer.
  Directory::RouteTag mTag;
  bool mCarriesData = false;
  /// Sequence number of an opening packet. Retransmissions have the same number.
  uint32_t mSequence = 0;
};

enum class Action
{
  Forward,
  /// Reset the flow, which tells the caller at once that it is not served.
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

/// What to do with a packet, and the values that the decision was based on, for the event log.
struct Decision
{
  Action mAction = Action::Drop;
  Reason mReason = Reason::Malformed;
  Directory::RouteTag mTag;
  Directory::UpstreamId mUpstream;
  Base::Endpoint mAddress;
  size_t mCandidates = 0;
  uint32_t mOutstanding = 0;
  /// Time since the upstream was last known to announce itself.
  Base::Duration mDirectoryAge{};
  /// Time since the opening packet, set for the packet that completes the handshake.
  std::optional<Base::Duration> mHandshake;
};

struct Settings
{
  std::string mAvailabilityZone;
  /// An upstream without an announcement for this long is used only if there is no other.
  Base::Duration mLease{};
  /// If the last reply of a connected control instance is older than this, a route that is unknown
  /// here may have been added since, so its packets are dropped instead of reset.
  Base::Duration mMaxConfigAge{};
};

/// State of the packet path of an entry instance. Used by the packet thread only. The members
/// document their bounds and what happens to them on a restart.
struct State
{
  RouteTable mRoutes;
  Directory::MergedDirectory mDirectory;
  FlowTable mFlows;
  FlowDurations mDurations;
  LoadTable mLoads;
  PeerReports mReports;
  Base::RandomSource mRandom;
  /// When a control instance that is connected to the leader of the log last replied.
  Base::TimePoint mConnectedAt;
  Base::TimePoint mFirstReplyAt;
};

/// Decides whether to forward, reset or drop a packet, and updates the state of its flow.
Decision
Steer(State& aState, const Settings& aSettings, const Packet& aPacket, Base::TimePoint aNow);

/// Applies the poll reply of a control instance.
/// \return true if it brought a new configuration into force.
bool
ApplyPollReply(State& aState,
               Base::InstanceId aControl,
               const lw::fleet::PollReply& aReply,
               Base::TimePoint aNow);

/// Expires idle flows, load reports and upstreams, and records unanswered opening packets. To be
/// called about every 100 ms, so that unanswered packets are recorded soon after kAnswerTimeout.
void
Expire(State& aState, Base::TimePoint aNow);

/// \return true if packets can be steered, that is, a configuration and upstreams are known.
bool
IsReady(const State& aState);

} // namespace Steering

#pragma once

#include "base/random.h"
#include "directory/mergeddirectory.h"
#include "steering/choice.h"
#include "steering/coldstart.h"
#include "steering/earlypackets.h"
#include "steering/evacuations.h"
#include "steering/flowcache.h"
#include "steering/flowload.h"
#include "steering/flowpins.h"
#include "steering/flowtable.h"
#include "steering/loadreports.h"
#include "steering/loadtable.h"
#include "steering/openingqueue.h"
#include "steering/outliers.h"
#include "steering/routetable.h"

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

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
  /// Time between the first copy of an opening packet and the copy that this instance received.
  Base::Duration mAge{};
  /// Time for which this instance has held the packet because it could not decide it.
  Base::Duration mHeldFor{};
  /// The whole datagram, kept while the packet is held. Valid during the call only.
  std::string_view mDatagram;
};

enum class Action
{
  Forward,
  /// Reset the flow, which tells the caller at once that it is not served.
  Reset,
  Drop,
  /// Keep the packet until an upstream has room, or, if IsHeldEarly, until it can be decided.
  /// ReleaseOpenings or ReleaseEarlyPackets returns it later.
  Hold
};

enum class Reason
{
  NewFlow,
  RepeatedOpening,
  /// No upstream has room for the flow.
  Saturated,
  /// The flow was held and an upstream has room now.
  Released,
  /// The flow would be held until its caller has ended the attempt.
  Overloaded,
  Tagged,
  /// The packet carries the tag of another upstream, which answered the opening packet late.
  Retagged,
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
  /// Cold upstreams that were excluded because this instance may not send to them now.
  size_t mColdLimited = 0;
  uint32_t mOutstanding = 0;
  /// True if upstreams of this instance's availability zone were excluded from the choice because
  /// the zone is evacuated.
  bool mIsDiverted = false;
  /// Why no upstream has room: flows of this instance and of its peers in the availability zone,
  /// and the number that this instance may always have.
  uint32_t mOwnFlows = 0;
  uint32_t mPeerFlows = 0;
  uint32_t mOwnLimit = 0;
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
  /// here may have been added since, so its packets are dropped instead of reset. Likewise, an
  /// upstream may have announced itself since, so that packets with an unknown tag are held.
  Base::Duration mMaxConfigAge{};
  /// A caller ends its attempt if it has no answer to its opening packet for this long.
  Base::Duration mOpeningLifetime{};
};

/// State of the packet path of an entry instance. Used by the packet thread only. The members
/// document their bounds and what happens to them on a restart.
struct State
{
  RouteTable mRoutes;
  Directory::MergedDirectory mDirectory;
  Evacuations mEvacuations;
  FlowTable mFlows;
  FlowPins mPins;
  FlowCache mFlowCache;
  RequestTable mRequests;
  LoadTable mLoads;
  PeerReports mReports;
  Outliers mOutliers;
  std::unordered_map<std::string, OpeningQueue> mOpeningsByService;
  EarlyPackets mEarlyPackets;
  /// Entry instances of the availability zone, including this one.
  size_t mInstances = 1;
  ColdStarts mColdStarts;
  /// Id of this instance in its load reports, or 0 if it sends none.
  uint32_t mInstance = 0;
  Base::RandomSource mRandom;
  /// When a control instance that is connected to the leader of the log last replied.
  Base::TimePoint mConnectedAt;
  Base::TimePoint mFirstReplyAt;
};

/// A held packet and what to do with it now.
struct ReleasedPacket
{
  FlowKey mFlow;
  std::string mDatagram;
  Decision mDecision;
  /// Tag in the packet, or 0 for an opening packet.
  Directory::RouteTag mTag;
};

/// Decides whether to forward, reset, drop or hold a packet, and updates the state of its flow.
Decision
Steer(State& aState, const Settings& aSettings, const Packet& aPacket, Base::TimePoint aNow);

/// Applies the poll reply of a control instance, including the evacuated availability zones.
/// \return true if it brought a new configuration into force.
bool
ApplyPollReply(State& aState,
               Base::InstanceId aControl,
               const lw::fleet::PollReply& aReply,
               Base::TimePoint aNow);

/// \return a report of this instance's flows and pins for its peers. The caller adds the sender,
/// the sequence number and the interval.
lw::fleet::LoadReport
MakePeerReport(State& aState, Base::TimePoint aNow);

/// Applies the report of a peer in the same availability zone.
void
ApplyPeerReport(State& aState, const lw::fleet::LoadReport& aReport, Base::TimePoint aNow);

/// \return true if opening packets are held, so that ReleaseOpenings should be called soon.
bool
HasHeldOpenings(const State& aState);

/// \return the held opening packets that upstreams have room for now, in the order in which they
/// are to be forwarded. Removes packets whose callers have ended their attempt.
std::vector<ReleasedPacket>
ReleaseOpenings(State& aState, const Settings& aSettings, Base::TimePoint aNow);

/// \return true if the packet is held because the routes or the directory do not determine yet what
/// to do with it.
bool
IsHeldEarly(const Decision& aDecision);

/// Decides the packets again for which IsHeldEarly was true. To be called after a poll reply has
/// changed the routes or the directory.
/// \return the packets that are decided now, in the order in which they are to be handled. Those
/// that wait for an upstream with room from now on are included, with Action::Hold.
std::vector<ReleasedPacket>
ReleaseEarlyPackets(State& aState, const Settings& aSettings, Base::TimePoint aNow);

/// Removes the packets for which IsHeldEarly was true and which were not decided in time.
/// \return the removed packets with Action::Drop and the reason for which they were held.
std::vector<ReleasedPacket>
ExpireEarlyPackets(State& aState, Base::TimePoint aNow);

/// Expires idle flows, pins, cached flows, load reports, upstreams and slow starts, and records
/// unanswered opening packets. To be called about every 100 ms, so that unanswered packets are
/// recorded soon after kAnswerTimeout.
void
Expire(State& aState, Base::TimePoint aNow);

/// Determines which cold upstreams this instance may send to. To be called together with Expire.
void
UpdateColdStarts(State& aState, const Settings& aSettings, Base::TimePoint aNow);

/// \return true if packets can be steered, that is, a configuration and upstreams are known.
bool
IsReady(const State& aState);

} // namespace Steering

#pragma once

#include "steering/expiringflows.h"
#include "steering/loadreports.h"

#include "fleet.pb.h"

#include <deque>
#include <map>
#include <optional>

namespace Steering {

/// The upstream of an open flow whose opening packet may have reached several upstreams.
struct FlowPin
{
  Directory::RouteTag mTag;
  /// Sequence number of the opening packet. It distinguishes a later flow with the same addresses.
  uint32_t mSequence = 0;
  /// Instance that saw the flow open.
  uint32_t mOrigin = 0;
  Base::TimePoint mAddedAt;
  /// True if the caller has closed the flow, so that it will not move to another instance.
  bool mClosing = false;
  /// Number of reports that the pin is still to be included in.
  int mReportsLeft = 0;
};

/// Pins of the flows in an availability zone. The tag in a caller's packet names the upstream that
/// answered last. That is not the one that holds the flow if another upstream answered a copy of
/// the opening packet late, and only the instance that saw the handshake can tell.
///
/// Every entry instance of the zone has all pins, because the fabric moves flows between instances.
/// At most kMaxPins, oldest discarded first; each is kept for kMaxFlowAge. After a restart, the
/// peers send the pins again.
struct FlowPins : ExpiringFlows<FlowPin>
{
  struct Pending
  {
    FlowKey mFlow;
    Base::TimePoint mDueAt;
  };
  /// This instance.
  uint32_t mSelf = 0;
  /// Pins with mReportsLeft > 0.
  std::deque<Pending> mPending;
  /// Peers that are asked to repeat their pins, and the number of reports that still ask them.
  std::map<uint32_t, int> mRequests;
};

constexpr size_t kMaxPins = 20000;
/// Reports are datagrams, so each pin is in several of them.
constexpr int kReportsPerPin = 3;

/// Pins a flow that this instance saw open, and schedules the pin for the reports to the peers. It
/// is reported only if the flow is still open then.
void
PinFlow(FlowPins& aPins,
        const FlowKey& aFlow,
        uint32_t aOpeningSequence,
        Directory::RouteTag aTag,
        Base::TimePoint aNow);

/// \param aSequence is the sequence number of a packet of the flow.
/// \return the tag of the upstream that holds the flow, or std::nullopt if the flow is not pinned.
std::optional<Directory::RouteTag>
PinnedTag(const FlowPins& aPins, const FlowKey& aFlow, uint32_t aSequence);

/// Records that the caller closes the flow, if it is pinned.
void
MarkClosing(FlowPins& aPins, const FlowKey& aFlow);

/// Adds scheduled pins to a report, as many as the bandwidth for pins allows, and the requests for
/// the pins of peers.
/// \param aPeers is the number of instances that the report is sent to.
/// \param aInterval is the interval between two reports.
void
AddPendingPins(FlowPins& aPins,
               lw::fleet::LoadReport& aReport,
               size_t aPeers,
               Base::Duration aInterval,
               Base::TimePoint aNow);

/// Stores the pins of a peer's report.
void
ApplyPins(FlowPins& aPins, const lw::fleet::LoadReport& aReport, Base::TimePoint aNow);

/// Asks a peer to repeat its pins, because this instance missed several of its reports. The peer
/// can't tell: reports may be lost in one direction only.
void
RequestPinsFrom(FlowPins& aPins, uint32_t aPeer);

/// \return true if the report asks this instance to repeat its pins.
bool
IsAskedForPins(const FlowPins& aPins, const lw::fleet::LoadReport& aReport);

/// Schedules the pins that a peer needs from this instance if it may have missed some: those made
/// here, those that the peer itself made before it restarted, and those of instances that no longer
/// send reports.
void
SchedulePinsFor(FlowPins& aPins, uint32_t aPeer, const PeerReports& aReports, Base::TimePoint aNow);

/// Schedules the pins of a peer that no longer sends reports. Another peer that started meanwhile
/// may have waited for them.
void
SchedulePinsOf(FlowPins& aPins, uint32_t aOrigin, Base::TimePoint aNow);

void
ExpirePins(FlowPins& aPins, Base::TimePoint aNow);

} // namespace Steering

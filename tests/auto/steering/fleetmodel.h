#pragma once

#include "directory/announcements.h"
#include "directory/routehistory.h"
#include "steering/steering.h"

#include <map>
#include <set>
#include <string>
#include <vector>

/// A fault that is injected into a run to verify that the checks detect it.
enum class ModelFault
{
  None,
  /// A control instance acknowledges a departure before it is committed to the log.
  AckBeforeCommit,
  /// A packet with an unknown tag is answered with a reset.
  ResetUnknownTags,
  /// Two starts with the same id count as the same upstream.
  IgnoreStartTime,
  /// Control and entry instances accept an announcement that is older than a known one.
  AcceptLateAnnouncements,
  /// An entry instance accepts routes with a lower version than the one in force.
  AcceptOlderRoutes,
  /// A poller keeps its position in the directory of a control instance that has restarted.
  KeepPositionAfterRestart,
  /// Entry instances do not tell each other which upstream holds a flow.
  KeepPinsToThemselves,
  /// Entry instances ignore the evacuated availability zones.
  IgnoreEvacuations,
  /// An entry instance accepts evacuations with a lower revision than the one in force.
  AcceptOlderEvacuations
};

/// Simulates a fleet with the production code of the directory and steering libraries: three
/// control instances, three entry instances, upstreams that start, drain, crash and reuse addresses
/// and ids, operators that evacuate and readmit availability zones, and callers with flows.
/// Messages are delayed, lost and duplicated; instances restart and are disconnected. Consensus is
/// not simulated: a committed change reaches every running control instance after a short delay.
/// Control instances may report the evacuations with a further delay. Runs with the same seed are
/// identical.
class FleetModel
{
public:
  /// \param aHasEvacuations is false for a run in which no availability zone is evacuated. The
  /// decisions of entry instances determine which random numbers are used, so the same seed has
  /// other events with evacuations than without.
  FleetModel(uint64_t aSeed, ModelFault aFault, bool aHasEvacuations);

  /// Simulates aDuration in steps of 10 ms, or stops at the first violation.
  void Run(Base::Duration aDuration);

  /// \return the first violated guarantee, or an empty string.
  const std::string& Violation() const { return mViolation; }

  size_t mSteps = 0;
  size_t mOpened = 0;
  size_t mPackets = 0;
  size_t mDepartures = 0;
  size_t mVersions = 0;
  size_t mEvacuations = 0;
  /// New flows that were refused because no upstream may serve them.
  size_t mRefused = 0;

private:
  struct Start
  {
    Directory::Announcement mAnnouncement;
    bool mAlive = true;
    Base::TimePoint mStartedAt;
    Base::TimePoint mNextAnnouncementAt;
    Base::TimePoint mAcknowledgedAt;
    Base::TimePoint mEndsAt;
  };

  struct Control
  {
    Directory::AnnouncementTable mTable;
    Directory::RouteHistory mRoutes;
    size_t mApplied = 0;
    /// Index of the state in the log whose evacuations the instance reports.
    size_t mReportedEvacuations = 0;
    /// The instance does not learn of changes of the evacuations before this time.
    Base::TimePoint mLagsUntil;
    bool mRunning = true;
    Base::TimePoint mRestartsAt;
  };

  struct Entry
  {
    Steering::State mState;
    /// Epoch and revision for each control instance.
    std::map<uint32_t, std::pair<uint64_t, uint64_t>> mPositions;
    Base::TimePoint mNextPoll;
    Base::TimePoint mDisconnectedUntil;
    Base::TimePoint mLastFaultAt;
    uint64_t mHighestVersion = 0;
    uint64_t mHighestEvacuationRevision = 0;
    uint64_t mIncarnation = 0;
    uint64_t mReports = 0;
    Base::TimePoint mNextReport;
  };

  struct Flow
  {
    Steering::FlowKey mKey;
    Directory::RouteTag mTag;
    size_t mStart = 0;
    Base::TimePoint mEndsAt;
    /// The flow opened at a start that the entry instance did not know yet, so it has the tag of
    /// the earlier start. An instance that knows only the later start drops its packets, which only
    /// delays the flow.
    bool mHasEarlierTag = false;
    /// The flow has the earlier tag and was opened by an instance that was not stable and may have
    /// missed another upstream that used the address in between. A reset of the flow by a stable
    /// instance is allowed then.
    bool mOpenedWhileUnstable = false;
    uint32_t mSequence = 0;
    /// Tag of another upstream that answers a copy of the opening packet at mLateAnswerAt. Packets
    /// after that may carry it.
    Directory::RouteTag mLateTag{};
    Base::TimePoint mLateAnswerAt = Base::TimePoint::max();
  };

  struct Message
  {
    size_t mControl = 0;
    size_t mStart = 0;
    Directory::Announcement mAnnouncement;
  };

  struct Reply
  {
    size_t mControl = 0;
    size_t mEntry = 0;
    lw::fleet::PollReply mReply;
  };

  bool RandomEvent(uint64_t aPerMillion);
  /// Like RandomEvent, for copies of opening packets and for reports. They have random numbers of
  /// their own, so that the other events of a seed stay the same.
  bool RandomFlowEvent(uint64_t aPerMillion);
  /// Like RandomEvent, for evacuations.
  bool RandomEvacuationEvent(uint64_t aPerMillion);
  Base::Duration RandomDelay(uint64_t aMaxMs);
  void StartUpstream();
  void DriveUpstreams();
  void DriveControl();
  void DriveEntries();
  void DriveFlows();
  void SendAnnouncement(size_t aStart);
  void Deliver(const Message& aMessage);
  void Commit(const lw::config::Departure& aDeparture);
  void Declare();
  void ApplyLog(Control& aControl);
  /// Begins or ends the evacuation of a random availability zone.
  void ChangeEvacuations();
  void DriveEvacuations();
  /// \return true if the zone has been evacuated without interruption for kEvacuationBound.
  bool IsEvacuationDue(const std::string& aZone) const;
  void Poll(size_t aEntry);
  void Deliver(const Reply& aReply);
  void OpenFlow();
  /// Sends a copy of the opening packet, which another upstream accepts as well, and completes the
  /// handshake with the first one.
  void SendCopy(Entry& aEntry, Steering::Packet aPacket, Flow& aFlow);
  void SendReports();
  /// Cancels late answers that come before the flow is known to all entry instances, and those to
  /// flows that no reachable instance knows any more.
  void CancelLateAnswers();
  bool IsPinReachable(const Flow& aFlow) const;
  void SendPacket(const Flow& aFlow);
  void RestartEntry(Entry& aEntry);
  uint32_t InstanceOf(const Entry& aEntry) const;
  /// \return the index of the live upstream that receives the datagram, or -1.
  int ReceiverOf(const Steering::Decision& aDecision) const;
  /// \return true if neither the entry instance nor a control instance had a fault recently.
  bool IsStable(const Entry& aEntry) const;
  void CheckEvacuationRevision(const Entry& aEntry);
  void CheckEvacuations(const Entry& aEntry, const Steering::Decision& aDecision);
  void CheckOpening(const Entry& aEntry, const Steering::Decision& aDecision);
  void ReportViolation(const std::string& aViolation);

  Base::RandomSource mRandom;
  Base::RandomSource mFlowRandom;
  Base::RandomSource mEvacuationRandom;
  const ModelFault mFault;
  const bool mHasEvacuations;
  Base::TimePoint mNow{ std::chrono::seconds(1000) };
  Steering::Settings mSettings;
  std::vector<Start> mStarts;
  std::vector<Control> mControls;
  std::vector<Entry> mEntries;
  std::vector<Flow> mFlows;
  /// State of the log after each committed change.
  std::vector<lw::config::State> mLog;
  std::vector<Base::TimePoint> mCommittedAt;
  Base::TimePoint mLastControlFaultAt;
  std::multimap<Base::TimePoint, Message> mMessages;
  std::multimap<Base::TimePoint, Reply> mReplies;
  uint16_t mNextPort = 1;
  uint64_t mNextEpoch = 1;
  std::string mViolation;
};

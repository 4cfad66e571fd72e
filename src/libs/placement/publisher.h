#pragma once

#include "membership/view.h"
#include "placement/planner.h"
#include "placement/tablecopy.h"

#include <map>
#include <set>
#include <vector>

namespace Placement {

enum class PublisherPhase
{
  /// Another member publishes, or the membership is not stable.
  Standby,
  /// Queries the members for the newest copy of the table.
  Syncing,
  Publishing
};

/// State of the table publisher of one service. Every instance has one, but only the live member
/// with the lowest id publishes. After its failure, the next publisher takes over the newest copy
/// of the table, completes a prepared change and restarts the idle times. Has at most one entry for
/// each member and slot.
struct Publisher
{
  PublisherPhase mPhase = PublisherPhase::Standby;
  uint64_t mMembershipFingerprint = 0;
  Base::TimePoint mStableSince;
  Base::TimePoint mPhaseSince;
  Base::TimePoint mNextResend;
  Base::TimePoint mNextVersionReport;
  /// Newest (active, prepared) versions by member while syncing.
  std::map<Base::InstanceId, std::pair<TableVersion, TableVersion>> mReports;
  /// Highest epoch that members have reported.
  uint64_t mHighestReported = 0;
  uint64_t mEpoch = 0;
  uint64_t mCounter = 0;
  Base::TimePoint mPreparedAt;
  bool mNeedsMinPrepare = false;
  std::set<Base::InstanceId> mConfirmed;
  /// Time of the last packet to an older upstream by slot.
  std::vector<Base::TimePoint> mSlotLastUsed = std::vector<Base::TimePoint>(kSlots);
  std::map<Base::InstanceId, Base::TimePoint> mUsageReports;
};

/// \return the live member with the lowest id, or nullptr.
const Membership::Member*
PublisherMember(const Membership::View& aView);

/// Handles confirmations, answers to version queries and usage reports.
void
HandlePublisherMessage(Publisher& aPublisher,
                       Base::InstanceId aSender,
                       const lw::placement::PlacementMessage& aMessage,
                       Base::TimePoint aNow);

/// Becomes publisher if needed, and plans, prepares and activates changes. Call it at least every
/// 100 ms.
/// \param aCopy is the instance's table, which the publisher changes.
TableEffects
TickPublisher(Publisher& aPublisher,
              TableCopy& aCopy,
              const Membership::View& aView,
              const Upstreams& aUpstreams,
              const Settings& aSettings,
              Base::TimePoint aNow);

/// \return a bitmap of the slots that were used after aSince.
lw::placement::SlotUsage
EncodeUsage(const std::map<uint16_t, Base::TimePoint>& aUsed, Base::TimePoint aSince);

} // namespace Placement

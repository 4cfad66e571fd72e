#pragma once

#include "base/runtimeclock.h"
#include "directory/mergeddirectory.h"
#include "steering/loadtable.h"
#include "steering/routetable.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace Steering {

/// Half-life of the counts of requests. As long as the shortest ejection, so that the counts of a
/// fault that is over do not cause a second one.
constexpr std::chrono::milliseconds kRequestCountHalfLife{ 1000 };

/// Half-life of the counts from which the rate of requests is estimated. With a shorter one, the
/// estimate of an instance with few requests varies so much that it ejects upstreams by chance.
constexpr std::chrono::milliseconds kRateHalfLife{ 8000 };

/// Answered and unanswered requests of an upstream, with exponential decay.
struct RequestCounts
{
  double mAnswered = 0;
  double mUnanswered = 0;
  Base::TimePoint mUpdatedAt;
};

/// Time for which an upstream gets no new flows because it did not answer requests. Afterwards, it
/// gets one flow at a time until a request is answered.
struct Ejection
{
  Base::TimePoint mUntil;
  /// Time until which no further probe is sent, or 0 if there is no probe.
  Base::TimePoint mProbeUntil;
  /// Results of requests that began after mUntil.
  bool mAnswered = false;
  bool mUnanswered = false;
};

/// Evidence and state of one upstream at an entry instance.
struct UpstreamOutlier
{
  RequestCounts mOwn;
  /// All own requests with the half-life kRateHalfLife, up to the latest update of mOwn.
  double mRequests = 0;
  std::optional<Ejection> mEjection;
  /// Consecutive ejections, including the current or latest one.
  uint32_t mEjections = 0;
  Base::TimePoint mRestoredAt;
  /// Reported unanswered requests that were taken into account already. They do not eject the
  /// upstream again.
  uint32_t mKnownPeerUnanswered = 0;
};

/// Upstreams that had requests recently, are ejected, or were restored in the last seconds. Owned
/// by one entry instance and bounded by the upstreams of the directory. A restarted instance has no
/// evidence.
struct Outliers
{
  /// If false, nothing is counted and no upstream is ejected.
  bool mEnabled = false;
  std::unordered_map<Directory::RouteTag, UpstreamOutlier> mByTag;
  /// Services with ejected upstreams and a route whose requests can be repeated. Only flows of such
  /// routes are used as probes.
  std::set<std::string> mRepeatableServices;
  /// When upstreams of each service last had no room. Bounded by the services of the
  /// configurations since the start.
  std::map<std::string, Base::TimePoint> mSaturatedAt;
  Base::TimePoint mLastSeenAt;
  /// Requests that began earlier do not count, because the instance was frozen.
  Base::TimePoint mCountsFrom;
};

/// Ejections as seen by the choice of an upstream for one flow.
struct EjectionView
{
  /// nullptr if outlier ejection is off.
  const Outliers* mOutliers = nullptr;
  /// True if the flow may be the probe of an upstream whose ejection has ended.
  bool mMayProbe = true;
};

/// An ejection or its end, with the values that it was based on, for the event log.
struct OutlierChange
{
  bool mIsEjected = false;
  Directory::RouteTag mTag;
  Directory::UpstreamId mUpstream;
  uint32_t mAnswered = 0;
  uint32_t mUnanswered = 0;
  /// Share of unanswered requests of the other upstreams.
  double mShareOfOthers = 0;
  Base::Duration mDuration{};
};

/// Records that the instance runs at this time. Requests that began before a gap in these times do
/// not count.
void
RecordRunning(Outliers& aOutliers, Base::TimePoint aNow);

/// Records that a request was answered.
/// \param aRequestAt is the time at which the request began.
void
RecordAnsweredRequest(Outliers& aOutliers,
                      Directory::RouteTag aTag,
                      Base::TimePoint aRequestAt,
                      Base::TimePoint aNow);

/// Records that a request was not answered within several mean durations.
void
RecordUnansweredRequest(Outliers& aOutliers,
                        Directory::RouteTag aTag,
                        Base::TimePoint aRequestAt,
                        Base::TimePoint aNow);

/// Records that no upstream of the service has room for a flow. Requests that wait in the queues of
/// upstreams look unanswered then, so no upstream is ejected until they are over.
void
RecordSaturation(Outliers& aOutliers, const std::string& aService, Base::TimePoint aNow);

/// Records that a new flow goes to the upstream, which is a probe if its ejection has ended.
void
RecordAssignment(Outliers& aOutliers, Directory::RouteTag aTag, Base::TimePoint aNow);

/// \return the factor by which counts decay over the time.
double
DecayOver(Base::Duration aTime, Base::Duration aHalfLife);

/// \return the counts at the time.
RequestCounts
CountsAt(const RequestCounts& aCounts, Base::TimePoint aNow);

/// \return the counts at the time, rounded.
RequestCounts
RoundedCounts(const RequestCounts& aCounts, Base::TimePoint aNow);

/// \return true if the upstream must not get the flow while another one has room.
bool
IsAvoided(const EjectionView& aView, Directory::RouteTag aTag, Base::TimePoint aNow);

/// \return the view for a flow of the service.
/// \param aIsRepeatable is true if the requests of the flow's route can be repeated.
EjectionView
ViewFor(const Outliers& aOutliers, const std::string& aService, bool aIsRepeatable);

/// Ejects upstreams and ends ejections. To be called about every 100 ms, after Expire.
/// \param aInstances is the number of entry instances of the availability zone.
std::vector<OutlierChange>
UpdateOutliers(Outliers& aOutliers,
               const LoadTable& aLoads,
               const Directory::MergedDirectory& aDirectory,
               const RouteTable& aRoutes,
               size_t aInstances,
               Base::TimePoint aNow);

/// \return the number of upstreams that are ejected or get only probes.
size_t
CountEjected(const Outliers& aOutliers);

} // namespace Steering

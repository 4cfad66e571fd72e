#include "steering/outliers.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace Steering {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Longest time until a request counts as unanswered. A probe without a request ends then.
constexpr milliseconds kProbeTimeout{ 2500 };
/// A longer time without a run of the instance means that it was frozen.
constexpr seconds kMaxGap{ 1 };

/// \return the upstream whose counts the request belongs to, or nullptr if it does not count.
UpstreamOutlier*
Update(Outliers& aOutliers,
       Directory::RouteTag aTag,
       Base::TimePoint aRequestAt,
       Base::TimePoint aNow)
{
  if (!aOutliers.mEnabled || aRequestAt < aOutliers.mCountsFrom) {
    return nullptr;
  }
  UpstreamOutlier& upstream = aOutliers.mByTag[aTag];
  upstream.mRequests *= DecayOver(aNow - upstream.mOwn.mUpdatedAt, kRateHalfLife);
  upstream.mRequests += 1;
  upstream.mOwn = CountsAt(upstream.mOwn, aNow);
  return &upstream;
}

} // namespace

double
DecayOver(Base::Duration aTime, Base::Duration aHalfLife)
{
  const std::chrono::duration<double> halfLife = aHalfLife;
  return std::exp2(-(std::chrono::duration<double>(aTime) / halfLife));
}

RequestCounts
CountsAt(const RequestCounts& aCounts, Base::TimePoint aNow)
{
  const double factor = DecayOver(aNow - aCounts.mUpdatedAt, kRequestCountHalfLife);
  return { aCounts.mAnswered * factor, aCounts.mUnanswered * factor, aNow };
}

void
RecordRunning(Outliers& aOutliers, Base::TimePoint aNow)
{
  if (aNow - aOutliers.mLastSeenAt > kMaxGap) {
    aOutliers.mCountsFrom = aNow;
  }
  aOutliers.mLastSeenAt = aNow;
}

void
RecordAnsweredRequest(Outliers& aOutliers,
                      Directory::RouteTag aTag,
                      Base::TimePoint aRequestAt,
                      Base::TimePoint aNow)
{
  UpstreamOutlier* upstream = Update(aOutliers, aTag, aRequestAt, aNow);
  if (upstream == nullptr) {
    return;
  }
  upstream->mOwn.mAnswered += 1;
  if (upstream->mEjection.has_value() && aRequestAt >= upstream->mEjection->mUntil) {
    upstream->mEjection->mAnswered = true;
  }
}

void
RecordUnansweredRequest(Outliers& aOutliers,
                        Directory::RouteTag aTag,
                        Base::TimePoint aRequestAt,
                        Base::TimePoint aNow)
{
  UpstreamOutlier* upstream = Update(aOutliers, aTag, aRequestAt, aNow);
  if (upstream == nullptr) {
    return;
  }
  upstream->mOwn.mUnanswered += 1;
  if (upstream->mEjection.has_value() && aRequestAt >= upstream->mEjection->mUntil) {
    upstream->mEjection->mUnanswered = true;
  }
}

void
RecordAssignment(Outliers& aOutliers, Directory::RouteTag aTag, Base::TimePoint aNow)
{
  const auto found = aOutliers.mByTag.find(aTag);
  if (found != aOutliers.mByTag.end() && found->second.mEjection.has_value() &&
      aNow >= found->second.mEjection->mUntil) {
    found->second.mEjection->mProbeUntil = aNow + kProbeTimeout;
  }
}

RequestCounts
RoundedCounts(const RequestCounts& aCounts, Base::TimePoint aNow)
{
  const RequestCounts counts = CountsAt(aCounts, aNow);
  return { std::round(counts.mAnswered), std::round(counts.mUnanswered), aNow };
}

bool
IsAvoided(const EjectionView& aView, Directory::RouteTag aTag, Base::TimePoint aNow)
{
  if (aView.mOutliers == nullptr) {
    return false;
  }
  const auto found = aView.mOutliers->mByTag.find(aTag);
  if (found == aView.mOutliers->mByTag.end() || !found->second.mEjection.has_value()) {
    return false;
  }
  const Ejection& ejection = *found->second.mEjection;
  return aNow < ejection.mUntil || aNow < ejection.mProbeUntil || !aView.mMayProbe;
}

EjectionView
ViewFor(const Outliers& aOutliers, const std::string& aService, bool aIsRepeatable)
{
  if (!aOutliers.mEnabled) {
    return {};
  }
  return { &aOutliers, aIsRepeatable || aOutliers.mRepeatableServices.count(aService) == 0 };
}

size_t
CountEjected(const Outliers& aOutliers)
{
  return std::count_if(aOutliers.mByTag.begin(), aOutliers.mByTag.end(), [](const auto& aItem) {
    return aItem.second.mEjection.has_value();
  });
}

} // namespace Steering

#include "steering/outliers.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <map>
#include <utility>

namespace Steering {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A caller cannot repeat a lost non-idempotent request, so two are enough. One is not, because
/// about 0.2% of the requests appear unanswered without a fault.
constexpr uint32_t kMinUnanswered = 2;
/// Minimum share of the counted requests.
constexpr double kMinShare = 0.3;
/// Minimum share of the estimated requests of all instances. Peers report answered requests only of
/// upstreams with unanswered ones, so a few requests that appear unanswered at different instances
/// are a large share of the counted ones.
constexpr double kMinEstimatedShare = 0.2;
/// Share of unanswered requests relative to the other upstreams, so that a zone that is overloaded
/// or loses datagrams ejects none.
constexpr double kMinShareRatio = 3;
/// Margin on that limit in standard deviations of a count. An upstream has a few requests within
/// the half-life, so some of many upstreams exceed the limit by chance.
constexpr double kChanceMargin = 3;
/// One of this many upstreams may be ejected. The others take its load.
constexpr size_t kUpstreamsPerEjection = 3;
constexpr milliseconds kFirstEjection{ 1000 };
constexpr milliseconds kMaxEjection{ 8000 };
constexpr uint32_t kMaxDoublings = 3;
/// An ejection that begins within this time after the end of the previous one counts as
/// consecutive, and lasts twice as long, up to kMaxEjection.
constexpr seconds kConsecutiveWindow{ 4 };
/// Time after saturation in which no upstream is ejected. The counts from before have decayed to a
/// quarter then.
constexpr Base::Duration kSaturationWindow = 2 * kRequestCountHalfLife;
/// Counts below this have no effect.
constexpr double kMinCount = 0.05;

/// \return the own requests with the half-life kRateHalfLife.
double
DecayedRequests(const UpstreamOutlier& aUpstream, Base::TimePoint aNow)
{
  return aUpstream.mRequests * DecayOver(aNow - aUpstream.mOwn.mUpdatedAt, kRateHalfLife);
}

/// An upstream and the requests that this instance and its peers counted.
struct Member
{
  const Directory::MergedUpstream* mUpstream = nullptr;
  double mAnswered = 0;
  uint32_t mUnanswered = 0;
  uint32_t mPeerUnanswered = 0;
  /// Requests that the upstream presumably had, at least those that were counted.
  double mRequests = 0;
};

double
ShareOf(const Member& aMember)
{
  return aMember.mRequests == 0 ? 0 : aMember.mUnanswered / aMember.mRequests;
}

/// The ready upstreams of a service in one availability zone.
struct Group
{
  std::vector<Member> mMembers;
  /// Own requests with the half-life kRateHalfLife.
  double mOwnRequests = 0;
  double mRequests = 0;
  double mUnanswered = 0;
  /// Flows with requests in progress, of this instance and its peers, and the slots for them.
  uint64_t mFlows = 0;
  uint64_t mSlots = 0;
};

using GroupKey = std::pair<std::string, std::string>;

GroupKey
KeyOf(const Directory::MergedUpstream& aUpstream)
{
  return { aUpstream.mUpstream.mService, aUpstream.mUpstream.mAvailabilityZone };
}

/// Removes upstreams without evidence and those that no longer get new flows.
void
RemoveUnused(Outliers& aOutliers,
             const Directory::MergedDirectory& aDirectory,
             Base::TimePoint aNow)
{
  for (auto item = aOutliers.mByTag.begin(); item != aOutliers.mByTag.end();) {
    const Directory::MergedUpstream* upstream = Directory::Find(aDirectory, item->first);
    const bool ready = upstream != nullptr && upstream->mUpstream.mState == Directory::State::Ready;
    const bool used = DecayedRequests(item->second, aNow) > kMinCount ||
                      item->second.mEjection.has_value() ||
                      aNow - item->second.mRestoredAt < kConsecutiveWindow;
    item = ready && used ? std::next(item) : aOutliers.mByTag.erase(item);
  }
}

/// \return the groups with an upstream that is ejected or has unanswered requests.
std::map<GroupKey, Group>
SuspectGroups(const Outliers& aOutliers,
              const LoadTable& aLoads,
              const Directory::MergedDirectory& aDirectory,
              Base::TimePoint aNow)
{
  std::map<GroupKey, Group> groups;
  const auto add = [&](Directory::RouteTag aTag) {
    const Directory::MergedUpstream* upstream = Directory::Find(aDirectory, aTag);
    if (upstream != nullptr) {
      groups.try_emplace(KeyOf(*upstream));
    }
  };
  for (const auto& [tag, upstream] : aOutliers.mByTag) {
    if (upstream.mEjection.has_value() || RoundedCounts(upstream.mOwn, aNow).mUnanswered > 0) {
      add(tag);
    }
  }
  for (const auto& [tag, load] : aLoads.mByTag) {
    if (load.mPeerUnanswered > 0) {
      add(tag);
    }
  }
  return groups;
}

void
AddMember(Group& aGroup,
          const Outliers& aOutliers,
          const LoadTable& aLoads,
          const Directory::MergedUpstream& aUpstream,
          Base::TimePoint aNow)
{
  const auto found = aOutliers.mByTag.find(aUpstream.mTag);
  const UpstreamOutlier own = found == aOutliers.mByTag.end() ? UpstreamOutlier() : found->second;
  const Load load = LoadOf(aLoads, aUpstream.mTag);
  const RequestCounts exact = CountsAt(own.mOwn, aNow);
  Member member;
  member.mUpstream = &aUpstream;
  member.mPeerUnanswered = load.mPeerUnanswered;
  member.mAnswered = exact.mAnswered + load.mPeerAnswered;
  member.mUnanswered = static_cast<uint32_t>(RoundedCounts(own.mOwn, aNow).mUnanswered) +
                       load.mPeerUnanswered -
                       std::min(own.mKnownPeerUnanswered, load.mPeerUnanswered);
  aGroup.mOwnRequests += DecayedRequests(own, aNow);
  aGroup.mFlows += uint64_t{ load.mOwnFlows } + load.mPeerFlows;
  aGroup.mSlots += aUpstream.mUpstream.mSlots;
  aGroup.mMembers.push_back(member);
}

/// Estimates the requests of all instances. Callers reach all instances alike, so each is assumed
/// to have as many as this one, evenly over the upstreams.
void
EstimateRequests(Group& aGroup, const Outliers& aOutliers, size_t aInstances, Base::TimePoint aNow)
{
  const std::chrono::duration<double> halfLife = kRequestCountHalfLife;
  // Part of the count that requests at the present rate have reached since the instance started.
  const double reached = 1 - DecayOver(aNow - aOutliers.mCountsFrom, kRateHalfLife);
  const double own = reached <= 0 ? 0 : aGroup.mOwnRequests / reached * (halfLife / kRateHalfLife);
  const double expected =
    own * static_cast<double>(aInstances) / static_cast<double>(aGroup.mMembers.size());
  for (Member& member : aGroup.mMembers) {
    const auto found = aOutliers.mByTag.find(member.mUpstream->mTag);
    double part = 1;
    if (found != aOutliers.mByTag.end()) {
      // A restored upstream has had requests only since then.
      part = found->second.mEjection.has_value()
               ? 0
               : 1 - DecayOver(aNow - found->second.mRestoredAt, kRequestCountHalfLife);
    }
    member.mRequests = std::max(member.mAnswered + member.mUnanswered, expected * part);
    aGroup.mRequests += member.mRequests;
    aGroup.mUnanswered += member.mUnanswered;
  }
}

size_t
MaxEjected(const Group& aGroup)
{
  const size_t upstreams = aGroup.mMembers.size();
  return upstreams < 2 ? 0 : std::max<size_t>(upstreams / kUpstreamsPerEjection, 1);
}

/// \return the share of unanswered requests that the other upstreams show together.
double
ShareOfOthers(const Group& aGroup, const Member& aMember)
{
  const double requests = aGroup.mRequests - aMember.mRequests;
  return requests <= 0 ? 0 : (aGroup.mUnanswered - aMember.mUnanswered) / requests;
}

bool
IsOutlier(const Group& aGroup, const Member& aMember)
{
  const double unanswered = aMember.mUnanswered;
  if (unanswered < kMinUnanswered ||
      unanswered < kMinShare * (aMember.mAnswered + aMember.mUnanswered) ||
      unanswered < kMinEstimatedShare * aMember.mRequests) {
    return false;
  }
  const double limit = kMinShareRatio * ShareOfOthers(aGroup, aMember) * aMember.mRequests;
  return unanswered >= limit + kChanceMargin * std::sqrt(limit);
}

OutlierChange
MakeChange(const Group& aGroup, const Member& aMember, bool aIsEjected)
{
  OutlierChange change;
  change.mIsEjected = aIsEjected;
  change.mTag = aMember.mUpstream->mTag;
  change.mUpstream = aMember.mUpstream->mUpstream.mId;
  change.mAnswered = static_cast<uint32_t>(std::lround(aMember.mAnswered));
  change.mUnanswered = aMember.mUnanswered;
  change.mShareOfOthers = ShareOfOthers(aGroup, aMember);
  return change;
}

OutlierChange
Eject(Outliers& aOutliers, const Group& aGroup, const Member& aMember, Base::TimePoint aNow)
{
  UpstreamOutlier& upstream = aOutliers.mByTag[aMember.mUpstream->mTag];
  const bool consecutive =
    upstream.mEjection.has_value() || aNow - upstream.mRestoredAt < kConsecutiveWindow;
  upstream.mEjections = consecutive ? upstream.mEjections + 1 : 1;
  const uint32_t doublings = std::min(upstream.mEjections - 1, kMaxDoublings);
  OutlierChange change = MakeChange(aGroup, aMember, true);
  change.mDuration = std::min<Base::Duration>(kFirstEjection * (1U << doublings), kMaxEjection);
  upstream.mEjection = Ejection();
  upstream.mEjection->mUntil = aNow + change.mDuration;
  upstream.mKnownPeerUnanswered = aMember.mPeerUnanswered;
  return change;
}

/// Ends the ejection if a request was answered, or begins the next one if a request was not.
void
UpdateEjected(Outliers& aOutliers,
              const Group& aGroup,
              const Member& aMember,
              Base::TimePoint aNow,
              std::vector<OutlierChange>& aChanges)
{
  UpstreamOutlier& upstream = aOutliers.mByTag[aMember.mUpstream->mTag];
  if (aNow < upstream.mEjection->mUntil) {
    upstream.mKnownPeerUnanswered = aMember.mPeerUnanswered;
    return;
  }
  // The probe of a peer may have failed. Without its result, each instance loses a probe.
  const bool failedAtPeer = aMember.mPeerUnanswered > upstream.mKnownPeerUnanswered;
  upstream.mKnownPeerUnanswered = std::min(upstream.mKnownPeerUnanswered, aMember.mPeerUnanswered);
  if (upstream.mEjection->mUnanswered || (failedAtPeer && !upstream.mEjection->mAnswered)) {
    aChanges.push_back(Eject(aOutliers, aGroup, aMember, aNow));
  } else if (upstream.mEjection->mAnswered) {
    aChanges.push_back(MakeChange(aGroup, aMember, false));
    upstream.mEjection.reset();
    upstream.mRequests = DecayedRequests(upstream, aNow);
    upstream.mOwn = { 0, 0, aNow };
    upstream.mRestoredAt = aNow;
    upstream.mKnownPeerUnanswered = aMember.mPeerUnanswered;
  }
}

bool
WasSaturated(const Outliers& aOutliers, const std::string& aService, Base::TimePoint aNow)
{
  const auto saturated = aOutliers.mSaturatedAt.find(aService);
  return saturated != aOutliers.mSaturatedAt.end() && aNow - saturated->second < kSaturationWindow;
}

/// \param aMayEject is false if ejections only end or are continued.
void
UpdateGroup(Outliers& aOutliers,
            const Group& aGroup,
            bool aMayEject,
            Base::TimePoint aNow,
            std::vector<OutlierChange>& aChanges)
{
  size_t ejected = 0;
  std::vector<const Member*> outliers;
  for (const Member& member : aGroup.mMembers) {
    const auto found = aOutliers.mByTag.find(member.mUpstream->mTag);
    if (found != aOutliers.mByTag.end() && found->second.mEjection.has_value()) {
      UpdateEjected(aOutliers, aGroup, member, aNow, aChanges);
      ejected += found->second.mEjection.has_value() ? 1 : 0;
      continue;
    }
    if (found != aOutliers.mByTag.end()) {
      found->second.mKnownPeerUnanswered =
        std::min(found->second.mKnownPeerUnanswered, member.mPeerUnanswered);
    }
    if (aMayEject && IsOutlier(aGroup, member)) {
      outliers.push_back(&member);
    }
  }
  std::sort(outliers.begin(), outliers.end(), [](const Member* aFirst, const Member* aSecond) {
    return std::make_pair(-ShareOf(*aFirst), aFirst->mUpstream->mTag.mValue) <
           std::make_pair(-ShareOf(*aSecond), aSecond->mUpstream->mTag.mValue);
  });
  for (const Member* outlier : outliers) {
    if (ejected >= MaxEjected(aGroup)) {
      return;
    }
    aChanges.push_back(Eject(aOutliers, aGroup, *outlier, aNow));
    ++ejected;
  }
}

bool
HasRepeatableRoute(const RouteTable& aRoutes, const std::string& aService)
{
  return std::any_of(aRoutes.mRoutes.begin(), aRoutes.mRoutes.end(), [&](const auto& aItem) {
    const Route& route = aItem.second;
    return route.mIsRepeatable &&
           std::any_of(route.mServices.begin(), route.mServices.end(), [&](const auto& aTarget) {
             return aTarget.mService == aService && aTarget.mWeight > 0;
           });
  });
}

} // namespace

std::vector<OutlierChange>
UpdateOutliers(Outliers& aOutliers,
               const LoadTable& aLoads,
               const Directory::MergedDirectory& aDirectory,
               const RouteTable& aRoutes,
               size_t aInstances,
               Base::TimePoint aNow)
{
  std::vector<OutlierChange> changes;
  if (!aOutliers.mEnabled) {
    return changes;
  }
  RemoveUnused(aOutliers, aDirectory, aNow);
  aOutliers.mRepeatableServices.clear();
  std::map<GroupKey, Group> groups = SuspectGroups(aOutliers, aLoads, aDirectory, aNow);
  if (groups.empty()) {
    return changes;
  }
  for (auto& [key, group] : groups) {
    const auto& upstreams = Directory::UpstreamsIn(aDirectory, key.first, key.second);
    for (const Directory::MergedUpstream* upstream : upstreams.mReady) {
      AddMember(group, aOutliers, aLoads, *upstream, aNow);
    }
    EstimateRequests(group, aOutliers, aInstances, aNow);
    // An instance with few flows may hold none although the zone has no room.
    if (group.mFlows >= group.mSlots) {
      RecordSaturation(aOutliers, key.first, aNow);
    }
    const bool mayEject = !WasSaturated(aOutliers, key.first, aNow);
    UpdateGroup(aOutliers, group, mayEject, aNow, changes);
    if (HasRepeatableRoute(aRoutes, key.first)) {
      aOutliers.mRepeatableServices.insert(key.first);
    }
  }
  return changes;
}

} // namespace Steering

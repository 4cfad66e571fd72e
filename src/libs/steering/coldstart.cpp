#include "steering/coldstart.h"

#include "base/hash.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <iterator>

namespace Steering {

namespace {

using std::chrono::seconds;

/// The rate limit applies to each sliding window of this length.
constexpr seconds kWindow{ 1 };
/// Window of very low rate limits. No upstream announces a longer cold time.
constexpr seconds kMaxWindow{ 600 };
/// Time in which the previous holder learns of a new one, in addition to the lifetime of a load
/// report. Covers several lost reports and the time between two updates.
constexpr seconds kHandoverMargin{ 1 };
/// Without an update for this long, an instance sends nothing to cold upstreams. Shorter than the
/// time after which another instance takes over from one that was frozen.
constexpr seconds kMaxUpdateAge{ 1 };

/// Number of opening packets that may be sent in a window.
struct Limit
{
  size_t mFlows = 0;
  Base::Duration mWindow{};
};

/// Rounds down, so that no window has more flows than the rate limit. Below one flow per second,
/// the window is extended to one flow instead.
Limit
LimitFor(double aRate)
{
  if (aRate >= 1) {
    const double flows = std::min(std::floor(aRate), static_cast<double>(kMaxFlowsPerWindow));
    return { static_cast<size_t>(flows), kWindow };
  }
  const double maxWindow = std::chrono::duration<double>(kMaxWindow).count();
  const std::chrono::duration<double> window(std::min(1 / aRate, maxWindow));
  return { 1, std::chrono::duration_cast<Base::Duration>(window) };
}

/// \return the time for which a new holder must not send, so that the flows of the previous holder
/// have left the window.
Base::Duration
HandoverWait(const HolderView& aView, const Limit& aLimit)
{
  return aLimit.mWindow + kHandoverMargin + aView.mReportLifetime;
}

uint64_t
RendezvousHash(uint32_t aInstance, Directory::RouteTag aTag)
{
  return Base::StableHash({ aTag.mValue, aInstance });
}

/// \return true if rendezvous hashing prefers aInstance to aOther as the holder.
bool
IsPreferred(uint32_t aInstance, uint32_t aOther, Directory::RouteTag aTag)
{
  const uint64_t hash = RendezvousHash(aInstance, aTag);
  const uint64_t other = RendezvousHash(aOther, aTag);
  return hash > other || (hash == other && aInstance > aOther);
}

bool
Contains(const std::vector<uint32_t>& aInstances, uint32_t aInstance)
{
  return std::find(aInstances.begin(), aInstances.end(), aInstance) != aInstances.end();
}

/// Updates the time since which the inputs of IsHolder and HasMajority have been the same. During
/// that time no other instance can have been the holder of an upstream that this instance holds, so
/// an upstream that has just started gets flows without a wait.
void
UpdateStability(ColdStarts& aColdStarts,
                const HolderView& aView,
                bool aInterrupted,
                Base::TimePoint aNow)
{
  const auto& before = aColdStarts.mStablePeers;
  const auto& now = aView.mLivePeers;
  const bool samePeers = std::equal(before.begin(),
                                    before.end(),
                                    now.begin(),
                                    now.end(),
                                    [](const LivePeer& aLeft, const LivePeer& aRight) {
                                      return aLeft.mInstance == aRight.mInstance &&
                                             aLeft.mNotReceivedFrom == aRight.mNotReceivedFrom;
                                    });
  if (aInterrupted || !samePeers || aColdStarts.mStableList != aColdStarts.mListed) {
    aColdStarts.mStablePeers = now;
    aColdStarts.mStableList = aColdStarts.mListed;
    aColdStarts.mStableSince = aNow;
  }
}

} // namespace

void
SetColdStartRates(ColdStarts& aColdStarts, const lw::fleet::RouteUpdate& aUpdate)
{
  aColdStarts.mRates.clear();
  for (const lw::config::ColdStart& coldStart : aUpdate.cold_starts()) {
    if (coldStart.requests_per_second() > 0) {
      aColdStarts.mRates[coldStart.service()] = coldStart.requests_per_second();
    }
  }
}

bool
IsHolder(const HolderView& aView, Directory::RouteTag aTag)
{
  return std::none_of(
    aView.mLivePeers.begin(), aView.mLivePeers.end(), [&aView, aTag](const LivePeer& aPeer) {
      return IsPreferred(aPeer.mInstance, aView.mSelf, aTag);
    });
}

bool
HasMajority(const std::vector<uint32_t>& aListed, const HolderView& aView, Directory::RouteTag aTag)
{
  std::vector<uint32_t> preferred;
  std::copy_if(
    aListed.begin(),
    aListed.end(),
    std::back_inserter(preferred),
    [&aView, aTag](uint32_t aInstance) { return IsPreferred(aInstance, aView.mSelf, aTag); });
  const auto supports = [&](const LivePeer& aPeer) {
    const auto hears = [&aPeer](uint32_t aInstance) {
      return !Contains(aPeer.mNotReceivedFrom, aInstance);
    };
    return Contains(aListed, aPeer.mInstance) && hears(aView.mSelf) &&
           std::none_of(preferred.begin(), preferred.end(), hears);
  };
  const auto& peers = aView.mLivePeers;
  const auto others = static_cast<size_t>(std::count_if(peers.begin(), peers.end(), supports));
  const size_t own = Contains(aListed, aView.mSelf) ? 1 : 0;
  return 2 * (others + own) > aListed.size();
}

void
AddNotReceivedFrom(const ColdStarts& aColdStarts,
                   const HolderView& aView,
                   lw::fleet::LoadReport& aReport)
{
  for (const uint32_t listed : aColdStarts.mListed) {
    const bool isLive =
      std::any_of(aView.mLivePeers.begin(),
                  aView.mLivePeers.end(),
                  [listed](const LivePeer& aPeer) { return aPeer.mInstance == listed; });
    if (listed != aView.mSelf && !isLive) {
      aReport.add_not_received_from(listed);
    }
  }
}

void
UpdateHeldUpstreams(ColdStarts& aColdStarts,
                    const Directory::MergedDirectory& aDirectory,
                    const HolderView& aView,
                    Base::TimePoint aNow)
{
  const bool interrupted = aNow - aColdStarts.mUpdatedAt > kMaxUpdateAge;
  aColdStarts.mUpdatedAt = aNow;
  if (interrupted || aColdStarts.mRates.empty()) {
    aColdStarts.mHeld.clear();
  }
  if (aColdStarts.mRates.empty()) {
    // Nothing is known about the time without rates.
    aColdStarts.mStableList.clear();
    return;
  }
  UpdateStability(aColdStarts, aView, interrupted, aNow);
  std::unordered_map<Directory::RouteTag, HeldUpstream> held;
  for (const auto& [service, rate] : aColdStarts.mRates) {
    const auto& upstreams = Directory::UpstreamsIn(aDirectory, service, aView.mAvailabilityZone);
    for (const Directory::MergedUpstream* upstream : upstreams.mReady) {
      const Directory::RouteTag tag = upstream->mTag;
      if (aNow >= upstream->mUpstream.mColdUntil || !IsHolder(aView, tag) ||
          !HasMajority(aColdStarts.mListed, aView, tag)) {
        continue;
      }
      HeldUpstream& entry = held[tag];
      const auto known = aColdStarts.mHeld.find(tag);
      if (known != aColdStarts.mHeld.end()) {
        entry = std::move(known->second);
      } else {
        entry.mSince = aColdStarts.mStableSince;
      }
      entry.mSendsFrom = entry.mSince + HandoverWait(aView, LimitFor(rate));
    }
  }
  aColdStarts.mHeld = std::move(held);
}

std::optional<double>
RateLimitOf(const ColdStarts& aColdStarts,
            const Directory::Upstream& aUpstream,
            Base::TimePoint aNow)
{
  if (aNow >= aUpstream.mColdUntil) {
    return std::nullopt;
  }
  const auto rate = aColdStarts.mRates.find(aUpstream.mService);
  return rate == aColdStarts.mRates.end() ? std::nullopt : std::optional<double>(rate->second);
}

bool
AllowsOpening(const ColdStarts& aColdStarts,
              const Directory::MergedUpstream& aUpstream,
              Base::TimePoint aNow)
{
  const std::optional<double> rate = RateLimitOf(aColdStarts, aUpstream.mUpstream, aNow);
  if (!rate.has_value()) {
    return true;
  }
  const auto held = aColdStarts.mHeld.find(aUpstream.mTag);
  if (held == aColdStarts.mHeld.end() || aNow < held->second.mSendsFrom ||
      aNow - aColdStarts.mUpdatedAt > kMaxUpdateAge) {
    return false;
  }
  const Limit limit = LimitFor(*rate);
  const auto& sent = held->second.mSent;
  return sent.size() < limit.mFlows || aNow - sent[sent.size() - limit.mFlows] > limit.mWindow;
}

double
HeldRate(const ColdStarts& aColdStarts,
         const Directory::MergedDirectory& aDirectory,
         const std::string& aService,
         Base::TimePoint aNow)
{
  double total = 0;
  for (const auto& [tag, held] : aColdStarts.mHeld) {
    const Directory::MergedUpstream* upstream = Directory::Find(aDirectory, tag);
    if (upstream == nullptr || upstream->mUpstream.mService != aService || aNow < held.mSendsFrom) {
      continue;
    }
    total += RateLimitOf(aColdStarts, upstream->mUpstream, aNow).value_or(0);
  }
  return total;
}

void
RecordOpening(ColdStarts& aColdStarts,
              const Directory::MergedUpstream& aUpstream,
              Base::TimePoint aNow)
{
  const std::optional<double> rate = RateLimitOf(aColdStarts, aUpstream.mUpstream, aNow);
  const auto held = aColdStarts.mHeld.find(aUpstream.mTag);
  if (!rate.has_value() || held == aColdStarts.mHeld.end()) {
    return;
  }
  auto& sent = held->second.mSent;
  sent.push_back(aNow);
  while (sent.size() > LimitFor(*rate).mFlows) {
    sent.pop_front();
  }
}

} // namespace Steering

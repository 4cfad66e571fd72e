#include "steering/coldstart.h"

#include "base/hash.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace Steering {

namespace {

using std::chrono::seconds;

/// The rate limit applies to each sliding window of this length.
constexpr seconds kWindow{ 1 };
/// Window of very low rate limits. No upstream is cold for longer (kMaxColdRemainingMs).
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

/// \return true if more than half of the listed instances are live. Otherwise the others may have
/// elected other holders.
bool
SeesMajority(const ColdStarts& aColdStarts, const HolderView& aView)
{
  const auto& listed = aColdStarts.mListed;
  const auto isLive = [&aView](uint32_t aInstance) {
    const auto& live = aView.mLivePeers;
    return aInstance == aView.mSelf || std::find(live.begin(), live.end(), aInstance) != live.end();
  };
  const auto count = static_cast<size_t>(std::count_if(listed.begin(), listed.end(), isLive));
  return 2 * count > listed.size();
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
  const uint64_t own = RendezvousHash(aView.mSelf, aTag);
  return std::none_of(
    aView.mLivePeers.begin(), aView.mLivePeers.end(), [&aView, own, aTag](uint32_t aPeer) {
      const uint64_t other = RendezvousHash(aPeer, aTag);
      return other > own || (other == own && aPeer > aView.mSelf);
    });
}

void
UpdateHeldUpstreams(ColdStarts& aColdStarts,
                    const Directory::MergedDirectory& aDirectory,
                    const HolderView& aView,
                    Base::TimePoint aNow)
{
  const bool interrupted = aNow - aColdStarts.mUpdatedAt > kMaxUpdateAge;
  aColdStarts.mUpdatedAt = aNow;
  const bool mayHold = !aColdStarts.mRates.empty() && SeesMajority(aColdStarts, aView);
  if (interrupted || !mayHold) {
    aColdStarts.mHeld.clear();
  }
  if (!mayHold) {
    return;
  }
  std::unordered_map<Directory::RouteTag, HeldUpstream> held;
  for (const auto& [tag, upstream] : aDirectory.mByTag) {
    const Directory::Upstream& described = upstream.mUpstream;
    const bool canTakeFlows = described.mState == Directory::State::Ready &&
                              described.mAvailabilityZone == aView.mAvailabilityZone;
    const std::optional<double> rate = RateLimitOf(aColdStarts, described, aNow);
    if (!canTakeFlows || !rate.has_value() || !IsHolder(aView, tag)) {
      continue;
    }
    HeldUpstream& entry = held[tag];
    const auto known = aColdStarts.mHeld.find(tag);
    if (known != aColdStarts.mHeld.end()) {
      entry = std::move(known->second);
    } else {
      entry.mSince = aNow;
    }
    entry.mSendsFrom = entry.mSince + HandoverWait(aView, LimitFor(*rate));
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

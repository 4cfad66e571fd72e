#include "steering/choice.h"

#include <algorithm>
#include <array>

namespace Steering {

namespace {

/// Groups of upstreams in order of preference. A group is used only if all groups before it are
/// empty.
enum PreferenceGroup
{
  Healthy,
  Unresponsive,
  AlreadyTried,
  PreferenceGroupCount
};

/// Upstreams sampled from the local availability zone and from the remote ones.
constexpr int kLocalSamples = 3;
constexpr int kRemoteSamples = 1;
/// Added to the cost of an upstream in a remote availability zone, in flows per slot. With a lower
/// penalty, flows cross availability zones while local slots are free, and fail if the link between
/// the zones fails.
constexpr double kRemotePenalty = 0.75;
/// Factor by which an upstream is slower right after its start.
constexpr double kColdStartFactor = 1.6;

struct Candidates
{
  std::vector<const Directory::MergedUpstream*> mLocal;
  std::vector<const Directory::MergedUpstream*> mRemote;
};

PreferenceGroup
PreferenceGroupOf(const ChoiceInput& aInput, const Directory::MergedUpstream& aUpstream)
{
  const auto& tried = aInput.mExcluded;
  if (std::find(tried.begin(), tried.end(), aUpstream.mTag) != tried.end()) {
    return AlreadyTried;
  }
  const auto& zones = aInput.mLoads.mByRemoteZone;
  const auto zone = zones.find(aUpstream.mUpstream.mAvailabilityZone);
  if (zone != zones.end() && IsSuspended(zone->second, aInput.mNow)) {
    return Unresponsive;
  }
  const bool leaseExpired =
    aInput.mNow - Directory::LastAnnounced(aInput.mDirectory, aUpstream) > aInput.mLease;
  return leaseExpired || IsSuspended(LoadOf(aInput.mLoads, aUpstream.mTag), aInput.mNow)
           ? Unresponsive
           : Healthy;
}

double
Cost(const ChoiceInput& aInput, const Directory::MergedUpstream& aUpstream)
{
  const Load load = LoadOf(aInput.mLoads, aUpstream.mTag);
  const double flows = static_cast<double>(load.mOwnFlows) + load.mPeerFlows + 1;
  double cost = flows / aUpstream.mUpstream.mSlots;
  if (aInput.mNow < aUpstream.mUpstream.mColdUntil) {
    cost *= kColdStartFactor;
  }
  const bool remote = aUpstream.mUpstream.mAvailabilityZone != aInput.mAvailabilityZone;
  return remote ? cost + kRemotePenalty : cost;
}

void
SampleCandidates(const ChoiceInput& aInput,
                 const std::vector<const Directory::MergedUpstream*>& aCandidates,
                 int aSamples,
                 Base::RandomSource& aRandom,
                 const Directory::MergedUpstream*& aBest,
                 double& aBestCost)
{
  for (int i = 0; i < aSamples && !aCandidates.empty(); ++i) {
    const Directory::MergedUpstream* sampled =
      aCandidates[Base::NextBelow(aRandom, aCandidates.size())];
    const double cost = Cost(aInput, *sampled);
    if (aBest == nullptr || cost < aBestCost) {
      aBest = sampled;
      aBestCost = cost;
    }
  }
}

} // namespace

Choice
ChooseUpstream(const ChoiceInput& aInput, Base::RandomSource& aRandom)
{
  std::array<Candidates, PreferenceGroupCount> groups;
  for (const auto& [tag, upstream] : aInput.mDirectory.mByTag) {
    const Directory::Upstream& described = upstream.mUpstream;
    if (described.mState != Directory::State::Ready || described.mService != aInput.mService) {
      continue;
    }
    Candidates& group = groups[PreferenceGroupOf(aInput, upstream)];
    const bool local = described.mAvailabilityZone == aInput.mAvailabilityZone;
    (local ? group.mLocal : group.mRemote).push_back(&upstream);
  }
  for (const Candidates& group : groups) {
    Choice choice;
    double cost = 0;
    SampleCandidates(aInput, group.mLocal, kLocalSamples, aRandom, choice.mUpstream, cost);
    const int remoteSamples = group.mLocal.empty() ? kLocalSamples : kRemoteSamples;
    SampleCandidates(aInput, group.mRemote, remoteSamples, aRandom, choice.mUpstream, cost);
    if (choice.mUpstream != nullptr) {
      const Load load = LoadOf(aInput.mLoads, choice.mUpstream->mTag);
      choice.mCandidates = group.mLocal.size() + group.mRemote.size();
      choice.mOutstanding = load.mOwnFlows + load.mPeerFlows;
      return choice;
    }
  }
  return {};
}

} // namespace Steering

#include "steering/choice.h"

#include <algorithm>
#include <array>

namespace Steering {

namespace {

/// Groups of upstreams, best first. A worse group is used only when the better ones are empty.
enum Group
{
  Good,
  Silent,
  AlreadyTried,
  GroupCount
};

/// Drawn from the own availability zone, and from the others.
constexpr int kLocalDraws = 3;
constexpr int kRemoteDraws = 1;
/// Work in parts of one slot that the way to another availability zone counts for. With less, flows
/// cross availability zones while slots are free near them, and fail with the link between.
constexpr double kRemotePenalty = 0.75;
/// An upstream that has just started works about this much more slowly.
constexpr double kColdFactor = 1.6;

struct Candidates
{
  std::vector<const Directory::MergedUpstream*> mLocal;
  std::vector<const Directory::MergedUpstream*> mRemote;
};

Group
GroupOf(const ChoiceInput& aInput, const Directory::MergedUpstream& aUpstream)
{
  const auto& tried = aInput.mExcluded;
  if (std::find(tried.begin(), tried.end(), aUpstream.mTag) != tried.end()) {
    return AlreadyTried;
  }
  const auto& zones = aInput.mLoads.mByRemoteZone;
  const auto zone = zones.find(aUpstream.mUpstream.mAvailabilityZone);
  if (zone != zones.end() && IsSuspended(zone->second, aInput.mNow)) {
    return Silent;
  }
  const bool lapsed =
    aInput.mNow - Directory::LastHeard(aInput.mDirectory, aUpstream) > aInput.mLease;
  return lapsed || IsSuspended(LoadOf(aInput.mLoads, aUpstream.mTag), aInput.mNow) ? Silent : Good;
}

double
Cost(const ChoiceInput& aInput, const Directory::MergedUpstream& aUpstream)
{
  const Load load = LoadOf(aInput.mLoads, aUpstream.mTag);
  const double work = static_cast<double>(load.mOwn) + load.mPeers + 1;
  double cost = work / aUpstream.mUpstream.mSlots;
  if (aInput.mNow < aUpstream.mUpstream.mColdUntil) {
    cost *= kColdFactor;
  }
  const bool remote = aUpstream.mUpstream.mAvailabilityZone != aInput.mAvailabilityZone;
  return remote ? cost + kRemotePenalty : cost;
}

void
Draw(const ChoiceInput& aInput,
     const std::vector<const Directory::MergedUpstream*>& aFrom,
     int aDraws,
     Base::RandomSource& aRandom,
     const Directory::MergedUpstream*& aBest,
     double& aBestCost)
{
  for (int i = 0; i < aDraws && !aFrom.empty(); ++i) {
    const Directory::MergedUpstream* drawn = aFrom[Base::NextBelow(aRandom, aFrom.size())];
    const double cost = Cost(aInput, *drawn);
    if (aBest == nullptr || cost < aBestCost) {
      aBest = drawn;
      aBestCost = cost;
    }
  }
}

} // namespace

Choice
ChooseUpstream(const ChoiceInput& aInput, Base::RandomSource& aRandom)
{
  std::array<Candidates, GroupCount> groups;
  for (const auto& [tag, upstream] : aInput.mDirectory.mByTag) {
    const Directory::Upstream& described = upstream.mUpstream;
    if (described.mState != Directory::State::Ready || described.mService != aInput.mService) {
      continue;
    }
    Candidates& group = groups[GroupOf(aInput, upstream)];
    const bool local = described.mAvailabilityZone == aInput.mAvailabilityZone;
    (local ? group.mLocal : group.mRemote).push_back(&upstream);
  }
  for (const Candidates& group : groups) {
    Choice choice;
    double cost = 0;
    Draw(aInput, group.mLocal, kLocalDraws, aRandom, choice.mUpstream, cost);
    const int remoteDraws = group.mLocal.empty() ? kLocalDraws : kRemoteDraws;
    Draw(aInput, group.mRemote, remoteDraws, aRandom, choice.mUpstream, cost);
    if (choice.mUpstream != nullptr) {
      const Load load = LoadOf(aInput.mLoads, choice.mUpstream->mTag);
      choice.mCandidates = group.mLocal.size() + group.mRemote.size();
      choice.mOutstanding = load.mOwn + load.mPeers;
      return choice;
    }
  }
  return {};
}

} // namespace Steering

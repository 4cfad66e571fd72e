#include "admission/selection.h"

#include "admission/deficit.h"
#include "admission/policylookup.h"
#include "admission/queuelimit.h"

#include <algorithm>

namespace Admission {

namespace {

bool
HasGuaranteedClient(const KindQueue& aKind)
{
  return std::any_of(aKind.mClients.begin(), aKind.mClients.end(), [](const auto& aEntry) {
    return !aEntry.second.mItems.empty() && aEntry.second.mGuarantee.mTokens > 0;
  });
}

// Order in which kinds are served; lower first.
enum class Tier
{
  /// The kind and one of its clients are within their guarantee.
  Guaranteed,
  /// A client is within its guarantee, but bursts of others used up that of the kind.
  GuaranteedClient,
  /// Only the kind is within its guarantee. Clients that borrow leave half of its burst to clients
  /// within theirs.
  GuaranteedKind,
  Borrowing
};

Tier
TierOf(const KindQueue& aKind)
{
  const TokenBucket& bucket = aKind.mGuarantee;
  if (HasGuaranteedClient(aKind)) {
    return bucket.mTokens > 0 ? Tier::Guaranteed : Tier::GuaranteedClient;
  }
  const bool hasBurst = bucket.mTokens > 0 && bucket.mTokens > bucket.mDepth / 2;
  return hasBurst ? Tier::GuaranteedKind : Tier::Borrowing;
}

bool
IsByUrgency(Tier aTier)
{
  return aTier == Tier::Guaranteed || aTier == Tier::GuaranteedKind;
}

struct KindChoice
{
  KindQueue* mKind = nullptr;
  Tier mTier = Tier::Borrowing;
  std::string mName;
};

std::vector<KindChoice>
ReadyKinds(Scheduler& aScheduler, const Policy& aPolicy, size_t aLimit, Base::TimePoint aNow)
{
  std::vector<KindChoice> ready;
  for (auto& [name, kind] : aScheduler.mKinds) {
    if (kind.mQueued == 0) {
      continue;
    }
    const Tier tier = TierOf(kind);
    const bool guaranteed = tier == Tier::Guaranteed || tier == Tier::GuaranteedClient;
    const Claim claim = guaranteed ? Claim::Guaranteed : Claim::Borrowed;
    if (kind.mRunning < MaxRunning(aScheduler, aPolicy, name, aLimit, claim, aNow)) {
      ready.push_back({ &kind, tier, name });
    }
  }
  return ready;
}

KindChoice
SelectKind(Scheduler& aScheduler, const Policy& aPolicy, size_t aLimit, Base::TimePoint aNow)
{
  const std::vector<KindChoice> ready = ReadyKinds(aScheduler, aPolicy, aLimit, aNow);
  if (ready.empty()) {
    return {};
  }
  const KindChoice& longest =
    *std::min_element(ready.begin(), ready.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.mKind->mWaitingSince < aRight.mKind->mWaitingSince;
    });
  StarvationTurn& turn = aScheduler.mStarvationTurn;
  if (IsStarvationTurn(turn, longest.mKind->mWaitingSince, aNow)) {
    turn.mNext = aNow + StarvationInterval(longest.mKind->mServiceTime.mMean, aLimit);
    return longest;
  }
  const Tier tier =
    std::min_element(ready.begin(), ready.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.mTier < aRight.mTier;
    })->mTier;
  std::vector<const KindChoice*> choices;
  std::vector<DeficitEntry> entries;
  for (const KindChoice& choice : ready) {
    if (choice.mTier != tier) {
      continue;
    }
    const double weight = KindWeight(aPolicy, choice.mName);
    choices.push_back(&choice);
    entries.push_back({ &choice.mName, &choice.mKind->mDeficit, weight });
  }
  if (!IsByUrgency(tier)) {
    return *choices[PickByDeficit(entries, aScheduler.mKindCursor)];
  }
  const auto isLessUrgent = [&aPolicy](const KindChoice* aLeft, const KindChoice* aRight) {
    return Urgency(aPolicy, aLeft->mName) < Urgency(aPolicy, aRight->mName);
  };
  return **std::max_element(choices.begin(), choices.end(), isLessUrgent);
}

std::string
SelectClientName(const Policy& aPolicy, KindQueue& aKind, size_t aLimit, Base::TimePoint aNow)
{
  std::vector<DeficitEntry> guaranteed;
  std::vector<DeficitEntry> all;
  const std::string* longest = nullptr;
  Base::TimePoint waitingSince = aNow;
  for (auto& [name, client] : aKind.mClients) {
    if (client.mItems.empty()) {
      continue;
    }
    if (longest == nullptr || client.mWaitingSince < waitingSince) {
      longest = &name;
      waitingSince = client.mWaitingSince;
    }
    all.push_back({ &name, &client.mDeficit, ClientWeight(aPolicy, name) });
    if (client.mGuarantee.mTokens > 0) {
      guaranteed.push_back(all.back());
    }
  }
  if (longest != nullptr && IsStarvationTurn(aKind.mStarvationTurn, waitingSince, aNow)) {
    aKind.mStarvationTurn.mNext = aNow + StarvationInterval(aKind.mServiceTime.mMean, aLimit);
    return *longest;
  }
  const std::vector<DeficitEntry>& entries = guaranteed.empty() ? all : guaranteed;
  return *entries[PickByDeficit(entries, aKind.mCursor)].mName;
}

} // namespace

Selection
SelectNext(Scheduler& aScheduler, const Policy& aPolicy, size_t aLimit, Base::TimePoint aNow)
{
  Selection selection;
  const KindChoice choice = SelectKind(aScheduler, aPolicy, aLimit, aNow);
  selection.mKind = choice.mKind;
  selection.mKindName = choice.mName;
  selection.mKindGuaranteed = IsByUrgency(choice.mTier);
  if (selection.mKind != nullptr) {
    KindQueue& kind = *selection.mKind;
    selection.mClientName = SelectClientName(aPolicy, kind, aLimit, aNow);
    selection.mClient = &kind.mClients[selection.mClientName];
    selection.mClientGuaranteed = selection.mClient->mGuarantee.mTokens > 0;
  }
  return selection;
}

} // namespace Admission

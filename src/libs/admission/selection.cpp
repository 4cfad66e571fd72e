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
  if (aNow - longest.mKind->mWaitingSince >= kStarvationBound) {
    return longest;
  }
  const Tier tier =
    std::min_element(ready.begin(), ready.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.mTier < aRight.mTier;
    })->mTier;
  const KindChoice* urgent = nullptr;
  std::vector<const KindChoice*> choices;
  std::vector<DeficitEntry> entries;
  for (const KindChoice& choice : ready) {
    if (choice.mTier != tier) {
      continue;
    }
    if (urgent == nullptr || Urgency(aPolicy, choice.mName) > Urgency(aPolicy, urgent->mName)) {
      urgent = &choice;
    }
    const double weight = KindWeight(aPolicy, choice.mName);
    choices.push_back(&choice);
    entries.push_back({ &choice.mName, &choice.mKind->mDeficit, weight });
  }
  return IsByUrgency(tier) ? *urgent : *choices[PickByDeficit(entries, aScheduler.mKindCursor)];
}

void
SelectClient(const Policy& aPolicy, Base::TimePoint aNow, Selection& aSelection)
{
  std::vector<DeficitEntry> guaranteed;
  std::vector<DeficitEntry> all;
  ClientQueue* starved = nullptr;
  for (auto& [name, client] : aSelection.mKind->mClients) {
    if (client.mItems.empty()) {
      continue;
    }
    if (aNow - client.mWaitingSince >= kStarvationBound &&
        (starved == nullptr || client.mWaitingSince < starved->mWaitingSince)) {
      starved = &client;
      aSelection.mClientName = name;
    }
    const double weight = ClientWeight(aPolicy, name);
    all.push_back({ &name, &client.mDeficit, weight });
    if (client.mGuarantee.mTokens > 0) {
      guaranteed.push_back(all.back());
    }
  }
  if (starved == nullptr) {
    const std::vector<DeficitEntry>& entries = guaranteed.empty() ? all : guaranteed;
    aSelection.mClientName = *entries[PickByDeficit(entries, aSelection.mKind->mCursor)].mName;
  }
  aSelection.mClient = &aSelection.mKind->mClients[aSelection.mClientName];
  aSelection.mClientGuaranteed = aSelection.mClient->mGuarantee.mTokens > 0;
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
    SelectClient(aPolicy, aNow, selection);
  }
  return selection;
}

} // namespace Admission

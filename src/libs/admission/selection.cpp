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

// Priority of kinds; lower values are served first.
enum class Tier
{
  /// The kind and at least one of its clients are within their guarantees.
  Guaranteed,
  /// A client is within its guarantee, but bursts of other clients have exhausted that of the kind.
  GuaranteedClient,
  /// Only the kind is within its guarantee. Borrowing clients may use only half of its burst; the
  /// rest is reserved for clients within their guarantees.
  GuaranteedKind,
  Borrowing
};

Tier
ClassifyKind(const KindQueue& aKind)
{
  const TokenBucket& bucket = aKind.mGuarantee;
  if (HasGuaranteedClient(aKind)) {
    return bucket.mTokens > 0 ? Tier::Guaranteed : Tier::GuaranteedClient;
  }
  const bool hasBurst = bucket.mTokens > 0 && bucket.mTokens > bucket.mDepth / 2;
  return hasBurst ? Tier::GuaranteedKind : Tier::Borrowing;
}

bool
IsOrderedByUrgency(Tier aTier)
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
    const Tier tier = ClassifyKind(kind);
    const bool guaranteed = tier == Tier::Guaranteed || tier == Tier::GuaranteedClient;
    const SlotClaim claim = guaranteed ? SlotClaim::Guaranteed : SlotClaim::Borrowed;
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
  StarvationState& starvation = aScheduler.mStarvationState;
  if (IsStarvationServiceDue(starvation, longest.mKind->mWaitingSince, aNow)) {
    starvation.mNext = aNow + StarvationInterval(longest.mKind->mServiceTime.mMean, aLimit);
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
  if (!IsOrderedByUrgency(tier)) {
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
  if (longest != nullptr && IsStarvationServiceDue(aKind.mStarvationState, waitingSince, aNow)) {
    aKind.mStarvationState.mNext = aNow + StarvationInterval(aKind.mServiceTime.mMean, aLimit);
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
  selection.mKindGuaranteed = IsOrderedByUrgency(choice.mTier);
  if (selection.mKind != nullptr) {
    KindQueue& kind = *selection.mKind;
    selection.mClientName = SelectClientName(aPolicy, kind, aLimit, aNow);
    selection.mClient = &kind.mClients[selection.mClientName];
    selection.mClientGuaranteed = selection.mClient->mGuarantee.mTokens > 0;
  }
  return selection;
}

} // namespace Admission

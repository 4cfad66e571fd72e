#include "admission/selection.h"

#include "admission/deficit.h"

#include <algorithm>

namespace Admission {

namespace {

using Seconds = std::chrono::duration<double>;

constexpr double kFullShare = 1000;
// Weight of borrowing for kinds and clients without a share.
constexpr double kMinWeight = 0.001;
// Burst of a guarantee in seconds of its rate. Long enough for arrivals that come in groups, short
// against the deadlines of the kinds that wait meanwhile.
constexpr double kBurstSeconds = 0.2;
// At least this many items fit into the burst of a kind or client with a share.
constexpr double kMinBurstItems = 2;
// Work this many times longer than that of another kind leaves a slot free for it, because a
// borrowed slot cannot be returned before the work ends.
constexpr int kLongWorkFactor = 4;
// A kind without work for this long gives up the slot that long work leaves free for it.
constexpr Base::Duration kActiveFor = std::chrono::seconds(2);

const Policy::Kind*
FindKind(const Policy& aPolicy, const std::string& aName)
{
  const auto& kinds = aPolicy.mKinds;
  const auto found = std::find_if(
    kinds.begin(), kinds.end(), [&](const Policy::Kind& aKind) { return aKind.mName == aName; });
  return found == kinds.end() ? nullptr : &*found;
}

const Policy::Client*
FindClient(const Policy& aPolicy, const std::string& aName)
{
  const auto& clients = aPolicy.mClients;
  const auto found =
    std::find_if(clients.begin(), clients.end(), [&](const Policy::Client& aClient) {
      return aClient.mName == aName;
    });
  return found == clients.end() ? nullptr : &*found;
}

double
KindShare(const Policy& aPolicy, const std::string& aName)
{
  const Policy::Kind* kind = FindKind(aPolicy, aName);
  return kind == nullptr ? 0 : kind->mSharePermille / kFullShare;
}

double
ClientShare(const Policy& aPolicy, const std::string& aName)
{
  const Policy::Client* client = FindClient(aPolicy, aName);
  return client == nullptr ? 0 : client->mSharePermille / kFullShare;
}

uint32_t
Urgency(const Policy& aPolicy, const std::string& aName)
{
  const Policy::Kind* kind = FindKind(aPolicy, aName);
  return kind == nullptr ? 0 : kind->mUrgency;
}

// Shares of clients come from terms that grow one by one, so their sum may exceed the service.
double
ClientShareScale(const Policy& aPolicy)
{
  double sum = 0;
  for (const Policy::Client& client : aPolicy.mClients) {
    sum += client.mSharePermille;
  }
  return std::min(1.0, kFullShare / std::max(1.0, sum));
}

bool
IsActive(const KindQueue& aKind, Base::TimePoint aNow)
{
  return aKind.mQueued > 0 || aKind.mRunning > 0 || aNow - aKind.mLastActive < kActiveFor;
}

// Slots that work of a kind may hold. Long work leaves one free while shorter work with
// a guarantee is active.
uint32_t
MaxRunning(const Scheduler& aScheduler,
           const Policy& aPolicy,
           const std::string& aName,
           size_t aLimit,
           Base::TimePoint aNow)
{
  const auto limit = static_cast<uint32_t>(aLimit);
  const auto own = aScheduler.mKinds.find(aName);
  if (limit < 2 || own == aScheduler.mKinds.end()) {
    return limit;
  }
  for (const auto& [name, kind] : aScheduler.mKinds) {
    const bool shorter = kind.mServiceTime.mSamples > 0 &&
                         kLongWorkFactor * kind.mServiceTime.mMean < own->second.mServiceTime.mMean;
    if (shorter && IsActive(kind, aNow) && KindShare(aPolicy, name) > 0) {
      return limit - 1;
    }
  }
  return limit;
}

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
    if (kind.mQueued > 0 && kind.mRunning < MaxRunning(aScheduler, aPolicy, name, aLimit, aNow)) {
      ready.push_back({ &kind, TierOf(kind), name });
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
    const double weight = std::max(kMinWeight, KindShare(aPolicy, choice.mName));
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
    const double weight = std::max(kMinWeight, ClientShare(aPolicy, name));
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

double
SecondsOf(Base::Duration aDuration)
{
  return Seconds(aDuration).count();
}

// Slots that a kind gets while all active kinds have work.
double
SlotsOfKind(const Scheduler& aScheduler,
            const Policy& aPolicy,
            const std::string& aName,
            size_t aLimit,
            Base::TimePoint aNow)
{
  double active = 0;
  for (const auto& [name, kind] : aScheduler.mKinds) {
    if (name == aName || kind.mQueued > 0 || kind.mRunning > 0) {
      active += std::max(kMinWeight, KindShare(aPolicy, name));
    }
  }
  const double own = std::max(kMinWeight, KindShare(aPolicy, aName));
  const double most = MaxRunning(aScheduler, aPolicy, aName, aLimit, aNow);
  const double share = std::min(most, static_cast<double>(aLimit) * own / active);
  // Without a share the kind is still served once in each kStarvationBound.
  const double mean = SecondsOf(aScheduler.mKinds.at(aName).mServiceTime.mMean);
  return std::max(share, mean / SecondsOf(kStarvationBound));
}

double
PartOfClient(const KindQueue& aKind, const Policy& aPolicy, const std::string& aName)
{
  const double own = std::max(kMinWeight, ClientShare(aPolicy, aName));
  double active = own;
  for (const auto& [name, client] : aKind.mClients) {
    if (name != aName && !client.mItems.empty()) {
      active += std::max(kMinWeight, ClientShare(aPolicy, name));
    }
  }
  return own / active;
}

double
BurstOf(double aRate, double aMean)
{
  return aRate > 0 ? std::max(kBurstSeconds * aRate, kMinBurstItems * aMean) : 0;
}

template<typename Map, typename Predicate>
void
EraseIf(Map& aMap, Predicate aPredicate)
{
  for (auto entry = aMap.begin(); entry != aMap.end();) {
    entry = aPredicate(*entry) ? aMap.erase(entry) : std::next(entry);
  }
}

} // namespace

std::string
QueueNameOfKind(const Policy& aPolicy, const std::string& aKind)
{
  return FindKind(aPolicy, aKind) == nullptr ? "" : aKind;
}

std::string
QueueNameOfClient(const Policy& aPolicy, const std::string& aClient)
{
  return FindClient(aPolicy, aClient) == nullptr ? "" : aClient;
}

void
RefillGuarantees(Scheduler& aScheduler, const Policy& aPolicy, size_t aLimit, Base::TimePoint aNow)
{
  const auto slots = static_cast<double>(aLimit);
  const double scale = ClientShareScale(aPolicy);
  for (auto& [kindName, kind] : aScheduler.mKinds) {
    const double rate = KindShare(aPolicy, kindName) * slots;
    const double mean = SecondsOf(kind.mServiceTime.mMean);
    Refill(kind.mGuarantee, rate, BurstOf(rate, mean), aNow);
    for (auto& [clientName, client] : kind.mClients) {
      const Policy::Client* terms = FindClient(aPolicy, clientName);
      if (terms != nullptr) {
        const double clientRate = rate * scale * terms->mSharePermille / kFullShare;
        const double depth = BurstOf(clientRate, mean) + terms->mSurgeAllowance * mean;
        Refill(client.mGuarantee, clientRate, depth, aNow);
      }
    }
  }
}

void
DropUnknownQueues(Scheduler& aScheduler, const Policy& aPolicy)
{
  const auto isUnknownClient = [&aPolicy](const auto& aEntry) {
    return FindClient(aPolicy, aEntry.first) == nullptr;
  };
  for (auto& [name, kind] : aScheduler.mKinds) {
    EraseIf(kind.mClients, [&](const auto& aEntry) {
      return aEntry.second.mItems.empty() && isUnknownClient(aEntry);
    });
  }
  EraseIf(aScheduler.mKinds, [&aPolicy](const auto& aEntry) {
    const KindQueue& kind = aEntry.second;
    return kind.mQueued == 0 && kind.mRunning == 0 && FindKind(aPolicy, aEntry.first) == nullptr;
  });
}

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

void
Charge(Scheduler& aScheduler, const RunningWork& aWork, double aSeconds)
{
  KindQueue& kind = aScheduler.mKinds[aWork.mKind];
  ClientQueue& client = kind.mClients[aWork.mClient];
  if (aWork.mKindGuaranteed) {
    kind.mGuarantee.mTokens -= aSeconds;
  } else {
    kind.mDeficit -= aSeconds;
  }
  if (aWork.mClientGuaranteed) {
    client.mGuarantee.mTokens -= aSeconds;
  }
  client.mDeficit -= aSeconds;
}

std::optional<RefusalReason>
CheckQueue(const Scheduler& aScheduler,
           const Policy& aPolicy,
           const QueueName& aName,
           Base::TimePoint aDeadline,
           Base::TimePoint aNow)
{
  const KindQueue& kind = aScheduler.mKinds.at(aName.mKind);
  const auto client = kind.mClients.find(aName.mClient);
  const size_t queued = client == kind.mClients.end() ? 0 : client->second.mItems.size();
  const Base::Duration remaining = aDeadline - aNow;
  if (queued >= kMaxQueuedForClient) {
    return RefusalReason::QueueFull;
  }
  if (remaining < CautiousEstimate(kind.mServiceTime)) {
    return RefusalReason::DeadlineTooShort;
  }
  if (queued == 0) {
    return std::nullopt;
  }
  const size_t limit = EffectiveLimit(aScheduler.mLimit, aNow);
  const double slots = SlotsOfKind(aScheduler, aPolicy, aName.mKind, limit, aNow) *
                       PartOfClient(kind, aPolicy, aName.mClient);
  const double wait = static_cast<double>(queued) * SecondsOf(kind.mServiceTime.mMean) / slots;
  if (wait + SecondsOf(CautiousEstimate(kind.mServiceTime)) > SecondsOf(remaining)) {
    return RefusalReason::QueueFull;
  }
  return std::nullopt;
}

} // namespace Admission

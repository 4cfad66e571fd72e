#include "admission/guarantee.h"

#include "admission/policylookup.h"

#include <algorithm>

namespace Admission {

namespace {

using Seconds = std::chrono::duration<double>;

// Burst of a guarantee in seconds of its rate. Long enough for arrivals that come in groups, short
// against the deadlines of the kinds that wait meanwhile.
constexpr double kBurstSeconds = 0.2;
// At least this many items fit into the burst of a kind or client with a share.
constexpr double kMinBurstItems = 2;

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

void
RefillGuarantees(Scheduler& aScheduler, const Policy& aPolicy, size_t aLimit, Base::TimePoint aNow)
{
  const auto slots = static_cast<double>(aLimit);
  for (auto& [kindName, kind] : aScheduler.mKinds) {
    const double rate = KindShare(aPolicy, kindName) * slots;
    const double mean = Seconds(kind.mServiceTime.mMean).count();
    Refill(kind.mGuarantee, rate, BurstOf(rate, mean), aNow);
    for (auto& [clientName, client] : kind.mClients) {
      const Policy::Client* terms = FindClient(aPolicy, clientName);
      if (terms != nullptr) {
        const double clientRate = rate * ClientShare(aPolicy, clientName);
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
    return kind.mQueued == 0 && kind.mRunning == 0 && !HasKind(aPolicy, aEntry.first);
  });
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

} // namespace Admission

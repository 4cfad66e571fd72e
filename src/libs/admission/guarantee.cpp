#include "admission/guarantee.h"

#include "admission/policylookup.h"

#include <algorithm>

namespace Admission {

namespace {

using Seconds = std::chrono::duration<double>;

// Burst size of a guarantee in seconds of its rate. Long enough for requests that arrive in groups,
// and short compared to the deadlines of other kinds that wait during a burst.
constexpr double kBurstSeconds = 0.1;
// Work of a single client at one upstream is sparse and arrives less evenly than that of a kind.
constexpr double kClientBurstSeconds = 0.2;
// Minimum burst size of a kind or client with a share, in items.
constexpr double kMinBurstItems = 2;

double
BurstSize(double aRate, double aMean, double aSeconds)
{
  return aRate > 0 ? std::max(aSeconds * aRate, kMinBurstItems * aMean) : 0;
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
    Refill(kind.mGuarantee, rate, BurstSize(rate, mean, kBurstSeconds), aNow);
    for (auto& [clientName, client] : kind.mClients) {
      const Policy::Client* terms = FindClient(aPolicy, clientName);
      if (terms != nullptr) {
        const double clientRate = rate * ClientShare(aPolicy, clientName);
        const double depth =
          BurstSize(clientRate, mean, kClientBurstSeconds) + terms->mSurgeAllowance * mean;
        Refill(client.mGuarantee, clientRate, depth, aNow);
      }
    }
  }
}

void
RemoveUnknownQueues(Scheduler& aScheduler, const Policy& aPolicy)
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

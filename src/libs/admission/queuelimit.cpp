#include "admission/queuelimit.h"

#include "admission/policylookup.h"

#include <algorithm>
#include <cmath>

namespace Admission {

namespace {

using Seconds = std::chrono::duration<double>;

// Work that takes more than this factor longer than work of another kind leaves a slot free for it,
// because a borrowed slot cannot be reclaimed before the work ends.
constexpr int kLongWorkFactor = 4;
// A kind that had no work for this time is no longer considered active.
constexpr Base::Duration kActivityTimeout = std::chrono::seconds(2);

double
ToSeconds(Base::Duration aDuration)
{
  return Seconds(aDuration).count();
}

bool
IsActive(const KindQueue& aKind, Base::TimePoint aNow)
{
  return aKind.mQueued > 0 || aKind.mRunning > 0 || aNow - aKind.mLastActive < kActivityTimeout;
}

// Expected number of slots of a kind when all kinds with queued or running work compete.
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
      active += KindWeight(aPolicy, name);
    }
  }
  const double own = KindWeight(aPolicy, aName);
  const double most = MaxRunning(aScheduler, aPolicy, aName, aLimit, SlotClaim::Guaranteed, aNow);
  const double share = std::min(most, static_cast<double>(aLimit) * own / active);
  // A kind without a share is still served by starvation prevention.
  const double mean = ToSeconds(aScheduler.mKinds.at(aName).mServiceTime.mMean);
  const Base::Duration interval =
    StarvationInterval(aScheduler.mKinds.at(aName).mServiceTime.mMean, aLimit);
  return std::max(share, mean / ToSeconds(interval));
}

double
ClientFraction(const KindQueue& aKind, const Policy& aPolicy, const std::string& aName)
{
  const double own = ClientWeight(aPolicy, aName);
  double active = own;
  for (const auto& [name, client] : aKind.mClients) {
    if (name != aName && !client.mItems.empty()) {
      active += ClientWeight(aPolicy, name);
    }
  }
  return own / active;
}

} // namespace

uint32_t
MaxRunning(const Scheduler& aScheduler,
           const Policy& aPolicy,
           const std::string& aName,
           size_t aLimit,
           SlotClaim aSlotClaim,
           Base::TimePoint aNow)
{
  const auto limit = static_cast<uint32_t>(aLimit);
  const auto entry = aScheduler.mKinds.find(aName);
  if (limit < 2 || entry == aScheduler.mKinds.end()) {
    return limit;
  }
  for (const auto& [name, kind] : aScheduler.mKinds) {
    const bool shorter =
      kind.mServiceTime.mSamples > 0 &&
      kLongWorkFactor * kind.mServiceTime.mMean < entry->second.mServiceTime.mMean;
    if (shorter && IsActive(kind, aNow) && KindShare(aPolicy, name) > 0) {
      const double guaranteed = std::ceil(KindShare(aPolicy, aName) * limit);
      const auto own = aSlotClaim == SlotClaim::Guaranteed ? static_cast<uint32_t>(guaranteed) : 0;
      return std::max(limit - 1, own);
    }
  }
  return limit;
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
  if (remaining < ConservativeEstimate(kind.mServiceTime)) {
    return RefusalReason::DeadlineTooShort;
  }
  if (queued == 0) {
    return std::nullopt;
  }
  const size_t limit = EffectiveLimit(aScheduler.mLimit, aNow);
  const double mean = ToSeconds(kind.mServiceTime.mMean);
  const double slots = SlotsOfKind(aScheduler, aPolicy, aName.mKind, limit, aNow);
  const double fraction = ClientFraction(kind, aPolicy, aName.mClient);
  // The wait depends on the client's own queue and share, but never exceeds the time to process all
  // queued work of the kind.
  const double own = static_cast<double>(queued) / fraction;
  const double wait = std::min(own, static_cast<double>(kind.mQueued)) * mean / slots;
  if (wait + ToSeconds(ConservativeEstimate(kind.mServiceTime)) > ToSeconds(remaining)) {
    return RefusalReason::QueueFull;
  }
  return std::nullopt;
}

} // namespace Admission

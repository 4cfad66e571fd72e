#include "admission/queuelimit.h"

#include "admission/policylookup.h"

#include <algorithm>
#include <cmath>

namespace Admission {

namespace {

using Seconds = std::chrono::duration<double>;

// Work this many times longer than that of another kind leaves a slot free for it, because a
// borrowed slot cannot be returned before the work ends.
constexpr int kLongWorkFactor = 4;
// A kind without work for this long gives up the slot that long work leaves free for it.
constexpr Base::Duration kActiveFor = std::chrono::seconds(2);

double
SecondsOf(Base::Duration aDuration)
{
  return Seconds(aDuration).count();
}

bool
IsActive(const KindQueue& aKind, Base::TimePoint aNow)
{
  return aKind.mQueued > 0 || aKind.mRunning > 0 || aNow - aKind.mLastActive < kActiveFor;
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
      active += KindWeight(aPolicy, name);
    }
  }
  const double own = KindWeight(aPolicy, aName);
  const double most = MaxRunning(aScheduler, aPolicy, aName, aLimit, Claim::Guaranteed, aNow);
  const double share = std::min(most, static_cast<double>(aLimit) * own / active);
  // Without a share the kind is still served once in each kStarvationBound.
  const double mean = SecondsOf(aScheduler.mKinds.at(aName).mServiceTime.mMean);
  return std::max(share, mean / SecondsOf(kStarvationBound));
}

double
PartOfClient(const KindQueue& aKind, const Policy& aPolicy, const std::string& aName)
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
           Claim aClaim,
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
      const auto own = aClaim == Claim::Guaranteed ? static_cast<uint32_t>(guaranteed) : 0;
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

#include "terms/renewal.h"

#include <algorithm>

namespace Terms {

namespace {

/// Every ceiling is reached below this level.
constexpr uint32_t kMaxLevel = 1000;

bool
IsValid(const lw::terms::Record& aRecord, const ClientPolicy& aPolicy)
{
  return aRecord.client() == aPolicy.mClient && aRecord.service() == aPolicy.mService &&
         aRecord.generation() == aPolicy.mGeneration &&
         aRecord.renewals() >= aPolicy.mLowestValidRenewals;
}

Renewal
StartTerms(const ClientPolicy& aPolicy, WallSeconds aNow)
{
  Renewal renewal;
  renewal.mRecord.set_client(aPolicy.mClient);
  renewal.mRecord.set_service(aPolicy.mService);
  renewal.mRecord.set_generation(aPolicy.mGeneration);
  renewal.mRecord.set_renewals(aPolicy.mLowestValidRenewals);
  renewal.mRecord.set_term_start(aNow.mValue);
  return renewal;
}

uint32_t
GrowTowardsCeiling(uint32_t aStart, uint32_t aGrowth, uint32_t aLevel, uint32_t aCeiling)
{
  const uint64_t grown = aStart + static_cast<uint64_t>(aGrowth) * aLevel;
  return static_cast<uint32_t>(std::min<uint64_t>(grown, std::max(aStart, aCeiling)));
}

} // namespace

Renewal
Renew(const std::optional<lw::terms::Record>& aRecord,
      const ClientPolicy& aPolicy,
      Standing aStanding,
      WallSeconds aNow)
{
  if (!aRecord.has_value() || !IsValid(*aRecord, aPolicy)) {
    return StartTerms(aPolicy, aNow);
  }
  Renewal renewal{ *aRecord, RenewalOutcome::NotDue };
  // A term that starts in the future, due to an instance whose clock is ahead, has age 0.
  const uint64_t age = aNow.mValue - std::min(aNow.mValue, aRecord->term_start());
  if (aPolicy.mTermSeconds == 0 || age < aPolicy.mTermSeconds) {
    return renewal;
  }
  const uint64_t endedTerms = age / aPolicy.mTermSeconds;
  const uint64_t missedTerms = endedTerms - 1;
  renewal.mRecord.set_term_start(aRecord->term_start() + endedTerms * aPolicy.mTermSeconds);
  renewal.mRecord.set_renewals(aRecord->renewals() + 1);
  if (missedTerms > 0) {
    const uint64_t decrease = std::min<uint64_t>(missedTerms, aRecord->level());
    renewal.mRecord.set_level(aRecord->level() - static_cast<uint32_t>(decrease));
    renewal.mOutcome = RenewalOutcome::Decreased;
    return renewal;
  }
  const bool grows = aStanding == Standing::Good && aRecord->level() < kMaxLevel;
  renewal.mRecord.set_level(aRecord->level() + (grows ? 1 : 0));
  renewal.mOutcome = grows ? RenewalOutcome::Increased : RenewalOutcome::Unchanged;
  return renewal;
}

Entitlement
EntitlementOf(const std::optional<lw::terms::Record>& aRecord, const ClientPolicy& aPolicy)
{
  const bool isValid = aRecord.has_value() && IsValid(*aRecord, aPolicy);
  const uint32_t level = isValid ? std::min(aRecord->level(), kMaxLevel) : 0;
  Entitlement entitlement;
  entitlement.mShare = Permille(GrowTowardsCeiling(
    aPolicy.mStartingShare.mValue, aPolicy.mGrowth.mValue, level, aPolicy.mCeiling.mValue));
  entitlement.mSurgeAllowance =
    GrowTowardsCeiling(aPolicy.mStartingSurge, aPolicy.mSurgeGrowth, level, aPolicy.mSurgeCeiling);
  return entitlement;
}

} // namespace Terms

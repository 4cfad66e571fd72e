#include "membership/retirement.h"

#include "membership/records.h"

#include <algorithm>
#include <tuple>

namespace Membership {

namespace {

/// Claims of a dead holder are dropped after this time, well after the end of their leases.
constexpr Base::Duration kDeadClaimRetention = std::chrono::seconds(30);

void
PurgeClaims(State& aState, Record& aRecord, Base::TimePoint aNow)
{
  std::vector<Claim>& claims = aRecord.mClaims;
  const auto old = std::stable_partition(claims.begin(), claims.end(), [aNow](const Claim& aClaim) {
    const bool ended = aClaim.mState == ClaimState::Left || aClaim.mState == ClaimState::Released;
    return !ended || aNow - aClaim.mRenewedAt < kClaimTombstoneRetention;
  });
  for (auto claim = old; claim != claims.end(); ++claim) {
    aRecord.mPurgedCounter = std::max(aRecord.mPurgedCounter, claim->mCounter);
    RetireAddress(aState, *claim, aNow);
  }
  claims.erase(old, claims.end());
}

} // namespace

void
RetireAddress(State& aState, const Claim& aClaim, Base::TimePoint aNow)
{
  RetiredAddress& retired = aState.mRetired[aClaim.mEndpoint];
  if (std::tie(aClaim.mStartId, aClaim.mSequence) >=
      std::tie(retired.mStartId, retired.mSequence)) {
    retired = { aClaim.mStartId, aClaim.mSequence, aNow };
  }
}

void
PurgeRecords(State& aState, Base::TimePoint aNow)
{
  std::vector<std::pair<Base::TimePoint, Base::InstanceId>> dead;
  for (auto& [id, record] : aState.mRecords) {
    PurgeClaims(aState, record, aNow);
    if (!IsActiveMember(record) && id != aState.mSelf) {
      dead.emplace_back(record.mLastHeartbeat, id);
      if (aNow - record.mLastHeartbeat > kDeadClaimRetention && !record.mClaims.empty()) {
        record.mClaims.clear();
        record.mCopiedCounter = record.mRemovalsCounter = 0;
      }
    }
  }
  if (dead.size() > kMaxDeadRecords) {
    std::sort(dead.begin(), dead.end());
    dead.resize(dead.size() - kMaxDeadRecords);
    for (const auto& [since, id] : dead) {
      aState.mRecords.erase(id);
    }
  }
  std::vector<Claim>& orphans = aState.mOrphans;
  const auto ended =
    std::stable_partition(orphans.begin(), orphans.end(), [aNow](const Claim& aClaim) {
      return aClaim.mLeaseEnd > aNow;
    });
  std::for_each(
    ended, orphans.end(), [&](const Claim& aClaim) { RetireAddress(aState, aClaim, aNow); });
  orphans.erase(ended, orphans.end());

  for (auto retired = aState.mRetired.begin(); retired != aState.mRetired.end();) {
    const bool old = aNow - retired->second.mAt > kRetiredAddressRetention;
    retired = old ? aState.mRetired.erase(retired) : std::next(retired);
  }
  while (aState.mRetired.size() > kMaxRetired) {
    const auto oldest = std::min_element(
      aState.mRetired.begin(), aState.mRetired.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second.mAt < aRight.second.mAt;
      });
    aState.mRetired.erase(oldest);
  }
}

} // namespace Membership

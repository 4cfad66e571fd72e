#pragma once

#include "base/strongtype.h"

#include "terms.pb.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Terms {

/// Wall clock time in seconds since 1970. The monotonic clock is unsuitable because records outlive
/// processes.
using WallSeconds = Base::StrongType<struct WallSecondsTag, uint64_t>;

/// Share of the capacity of a service in thousandths.
using Permille = Base::StrongType<struct PermilleTag, uint32_t>;

/// Configured terms of one client in one service.
struct ClientPolicy
{
  std::string mClient;
  std::string mService;
  uint64_t mGeneration = 0;
  Permille mStartingShare;
  Permille mGrowth;
  Permille mCeiling;
  uint32_t mStartingSurge = 0;
  uint32_t mSurgeGrowth = 0;
  uint32_t mSurgeCeiling = 0;
  uint64_t mTermSeconds = 0;
  /// Records with fewer renewals are revoked.
  uint64_t mLowestValidRenewals = 0;
};

/// Whether the client stayed within its allowance during the current term, as far as known to this
/// instance.
enum class Standing
{
  Good,
  Exceeded
};

enum class RenewalOutcome
{
  /// There was no valid record, so the client begins with its starting terms.
  Started,
  /// The term has not ended, so the record is unchanged.
  NotDue,
  /// The term ended and the level increased.
  Increased,
  /// The term ended and the level is unchanged, because of the standing or the maximum level.
  Unchanged,
  /// Whole terms passed without a renewal. The level decreased by one for each of them.
  Decreased
};

struct Renewal
{
  lw::terms::Record mRecord;
  RenewalOutcome mOutcome = RenewalOutcome::Started;
};

/// Resources that a client may use under its current terms.
struct Entitlement
{
  Permille mShare;
  uint32_t mSurgeAllowance = 0;
};

/// Renews the terms of a client. Terms are contiguous and aligned to the start of the first one, so
/// that two instances that renew the same record concurrently produce the same result and no
/// renewal is lost or counted twice.
/// \param aRecord is the record of the client, with its authentication code already verified.
Renewal
Renew(const std::optional<lw::terms::Record>& aRecord,
      const ClientPolicy& aPolicy,
      Standing aStanding,
      WallSeconds aNow);

/// \return the share and surge allowance of a record, or those of the starting terms if the record
/// is not valid.
Entitlement
EntitlementOf(const std::optional<lw::terms::Record>& aRecord, const ClientPolicy& aPolicy);

} // namespace Terms

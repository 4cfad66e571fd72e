#pragma once

#include "base/strongtype.h"

#include "terms.pb.h"

#include <cstdint>
#include <optional>
#include <string>

namespace Terms {

/// Wall clock time in seconds since 1970. Records outlive processes, so the monotonic clock can't
/// date them.
using WallSeconds = Base::StrongType<struct WallSecondsTag, uint64_t>;

/// Part of a service's capacity, in thousandths.
using Permille = Base::StrongType<struct PermilleTag, uint32_t>;

/// Terms of one client in one service, from the configuration.
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
  /// Records with fewer renewals were revoked.
  uint64_t mLowestValidRenewals = 0;
};

/// Whether the client kept to its allowance during the present term, as far as this instance knows.
enum class Standing
{
  Good,
  Exceeded
};

enum class RenewalOutcome
{
  /// No valid record was shown; the client starts anew.
  Started,
  /// The term is not over; the record stays as it is.
  Kept,
  /// The term is over and the level grew.
  Grown,
  /// The term is over and the level stayed, because of the standing or the ceiling.
  Held,
  /// Whole terms passed without a renewal; the level fell by one for each.
  FellBack
};

struct Renewal
{
  lw::terms::Record mRecord;
  RenewalOutcome mOutcome = RenewalOutcome::Started;
};

/// What a client may use under its present terms.
struct Entitlement
{
  Permille mShare;
  uint32_t mSurgeAllowance = 0;
};

/// Renews a client's terms. Terms follow one another without gaps on a grid that the first one
/// sets, so that two instances that renew the same record at the same time give the same result,
/// and no renewal is lost or counted twice. \param aRecord is what the client showed, after the
/// seal was checked.
Renewal
Renew(const std::optional<lw::terms::Record>& aRecord,
      const ClientPolicy& aPolicy,
      Standing aStanding,
      WallSeconds aNow);

/// \return the share and surge allowance of a record, or those of the starting terms if it is not
/// valid.
Entitlement
EntitlementOf(const std::optional<lw::terms::Record>& aRecord, const ClientPolicy& aPolicy);

} // namespace Terms

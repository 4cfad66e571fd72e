#include "requests/clientterms.h"

#include "config/serviceindex.h"
#include "requests/attempts.h"
#include "requests/policy.h"
#include "terms/sealedrecord.h"

#include <iterator>
#include <set>
#include <tuple>

namespace Requests {

bool
operator<(const ClientKey& aLeft, const ClientKey& aRight)
{
  return std::tie(aLeft.mGeneration, aLeft.mClient) < std::tie(aRight.mGeneration, aRight.mClient);
}

namespace Internal {

namespace {

/// A client has exceeded its allowance if more than one in ten requests was refused because its
/// queue was full. Fewer refusals also affect clients that stay within their allowance, for example
/// after the loss of an upstream.
constexpr uint64_t kRequestsPerRefusal = 10;
/// Smaller numbers of refusals are not significant.
constexpr uint64_t kMinRefusals = 20;

const lw::config::ClientTerms*
FindTerms(const Config::ServiceView& aService, const std::string& aClient)
{
  for (const lw::config::ClientTerms& terms : aService.mDefinition.clients()) {
    if (terms.client() == aClient) {
      return &terms;
    }
  }
  return nullptr;
}

Terms::ClientPolicy
MakePolicy(const Config::ServiceView& aService, const lw::config::ClientTerms& aTerms)
{
  Terms::ClientPolicy policy;
  policy.mClient = aTerms.client();
  policy.mService = aService.mName;
  policy.mGeneration = aService.mGeneration.mValue;
  policy.mStartingShare = Terms::Permille(aTerms.starting_share_permille());
  policy.mGrowth = Terms::Permille(aTerms.growth_permille());
  policy.mCeiling = Terms::Permille(aTerms.ceiling_permille());
  policy.mStartingSurge = aTerms.surge_allowance();
  policy.mSurgeGrowth = aTerms.surge_growth();
  policy.mSurgeCeiling = aTerms.surge_ceiling();
  policy.mTermSeconds = aTerms.term_seconds();
  policy.mLowestValidRenewals = aTerms.lowest_valid_renewals();
  return policy;
}

Terms::Standing
ComputeStanding(const KnownClients& aClients, const ClientKey& aKey)
{
  const auto known = aClients.find(aKey);
  if (known == aClients.end() || known->second.mRefused < kMinRefusals) {
    return Terms::Standing::Good;
  }
  const KnownClient& client = known->second;
  return client.mRefused * kRequestsPerRefusal > client.mRequests ? Terms::Standing::Exceeded
                                                                  : Terms::Standing::Good;
}

/// Removes the clients of deleted services, so that memory does not grow when services are
/// repeatedly deleted and created.
void
RemoveDeletedServices(KnownClients& aClients, const Config::ServiceIndex& aServices)
{
  std::set<Base::ServiceGeneration> generations;
  for (const auto& [name, service] : aServices.mByName) {
    generations.insert(service->mGeneration);
  }
  for (auto known = aClients.begin(); known != aClients.end();) {
    const bool isGone = generations.count(known->first.mGeneration) == 0;
    known = isGone ? aClients.erase(known) : std::next(known);
  }
}

/// Stores the record if it is newer than the stored one. A client that presents an older record
/// does not lose the level it has reached.
/// \return true if the record was stored.
bool
StoreIfNewer(KnownClients& aClients, const ClientKey& aKey, const lw::terms::Record& aRecord)
{
  const auto [entry, isNew] = aClients.try_emplace(aKey);
  KnownClient& known = entry->second;
  if (!isNew && aRecord.term_start() <= known.mRecord.term_start() &&
      aRecord.level() <= known.mRecord.level()) {
    return false;
  }
  if (aRecord.term_start() > known.mRecord.term_start()) {
    known.mRequests = 0;
    known.mRefused = 0;
  }
  known.mRecord = aRecord;
  return true;
}

} // namespace

std::string
RenewClientTerms(HandlerContext& aHandler,
                 const Config::ServiceView& aService,
                 const std::string& aClient,
                 const std::string& aSealed)
{
  const lw::config::ClientTerms* terms = FindTerms(aService, aClient);
  if (terms == nullptr) {
    return "";
  }
  const std::string& key = aHandler.mContext.mSettings.mTermsKey;
  const absl::StatusOr<lw::terms::Record> shown = Terms::OpenRecord(key, aSealed);
  const std::optional<lw::terms::Record> record =
    shown.ok() ? std::optional<lw::terms::Record>(*shown) : std::nullopt;
  KnownClients& clients = aHandler.mState.mClients;
  const ClientKey client{ aService.mGeneration, aClient };
  const Terms::Renewal renewal = Terms::Renew(record,
                                              MakePolicy(aService, *terms),
                                              ComputeStanding(clients, client),
                                              aHandler.mContext.mWallNow);
  if (clients.count(client) == 0) {
    RemoveDeletedServices(clients, aHandler.mContext.mServices);
  }
  if (StoreIfNewer(clients, client, renewal.mRecord)) {
    for (auto& [queueKey, queue] : aHandler.mState.mQueues) {
      if (queueKey.mGeneration == aService.mGeneration && queue.mService != nullptr) {
        SetPolicy(queue, queue.mService, clients);
      }
    }
  }
  return Terms::SealRecord(key, renewal.mRecord);
}

Terms::Entitlement
FindEntitlement(const KnownClients& aClients,
                const Config::ServiceView& aService,
                const lw::config::ClientTerms& aTerms)
{
  const auto known = aClients.find({ aService.mGeneration, aTerms.client() });
  const std::optional<lw::terms::Record> record =
    known == aClients.end() ? std::nullopt
                            : std::optional<lw::terms::Record>(known->second.mRecord);
  return Terms::EntitlementOf(record, MakePolicy(aService, aTerms));
}

void
CountClientRequest(KnownClients& aClients, const ClientKey& aKey, bool aWasRefused)
{
  const auto known = aClients.find(aKey);
  if (known == aClients.end()) {
    return;
  }
  known->second.mRequests += aWasRefused ? 0 : 1;
  known->second.mRefused += aWasRefused ? 1 : 0;
}

} // namespace Internal
} // namespace Requests

#pragma once

#include "base/ids.h"
#include "terms/renewal.h"

#include "config.pb.h"

#include <map>
#include <optional>
#include <string>

namespace Config {
struct ServiceView;
}

namespace Requests {

/// A client of one service generation.
struct ClientKey
{
  Base::ServiceGeneration mGeneration;
  std::string mClient;
};

bool
operator<(const ClientKey& aLeft, const ClientKey& aRight);

/// What a dispatcher knows of a client's terms and conduct in the present term. Owned by the
/// dispatcher shard; only clients that the configuration names are kept, which bounds it. Lost with
/// the owner: the client shows its record again when it opens a flow, and its conduct is counted
/// anew.
struct KnownClient
{
  lw::terms::Record mRecord;
  uint64_t mRequests = 0;
  /// Requests refused because the client's queue was full.
  uint64_t mRefused = 0;
};

using KnownClients = std::map<ClientKey, KnownClient>;

namespace Internal {

struct Work;

/// Renews the record that a caller showed and remembers the terms for the scheduler's policy.
/// \return the sealed record for the caller, empty if the configuration names no terms for the
/// client.
std::string
PresentTerms(Work& aWork,
             const Config::ServiceView& aService,
             const std::string& aClient,
             const std::string& aSealed);

/// \return the share and surge allowance of a client under the terms that are known of it.
Terms::Entitlement
KnownEntitlement(const KnownClients& aClients,
                 const Config::ServiceView& aService,
                 const lw::config::ClientTerms& aTerms);

/// Counts a request of a client, or its refusal because of a full queue, for the client's standing.
void
CountConduct(KnownClients& aClients, const ClientKey& aKey, bool aWasRefused);

} // namespace Internal
} // namespace Requests

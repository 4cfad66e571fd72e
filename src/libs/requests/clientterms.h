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

/// Terms of a client and its request counters in the current term. Held by the dispatcher shard for
/// configured clients only, which limits the number of entries. It is not persistent: after a
/// restart the client presents its record again when it opens a flow, and the counters restart at
/// zero.
struct KnownClient
{
  lw::terms::Record mRecord;
  uint64_t mRequests = 0;
  /// Requests refused because the client's queue was full.
  uint64_t mRefused = 0;
};

using KnownClients = std::map<ClientKey, KnownClient>;

namespace Internal {

struct HandlerContext;

/// Renews the terms record presented by a caller and applies the new terms to the scheduler policy.
/// \return the sealed record for the caller, empty if no terms are configured for the client.
std::string
RenewClientTerms(HandlerContext& aHandler,
                 const Config::ServiceView& aService,
                 const std::string& aClient,
                 const std::string& aSealed);

/// \return the share and surge allowance of a client according to its stored terms, or the starting
/// terms if none are stored.
Terms::Entitlement
FindEntitlement(const KnownClients& aClients,
                const Config::ServiceView& aService,
                const lw::config::ClientTerms& aTerms);

/// Counts a request of a client, or its refusal because of a full queue. The ratio determines the
/// client's standing.
void
CountClientRequest(KnownClients& aClients, const ClientKey& aKey, bool aWasRefused);

} // namespace Internal
} // namespace Requests

#pragma once

#include "absl/status/statusor.h"
#include "base/endpoint.h"
#include "base/ids.h"

#include "absl/strings/string_view.h"
#include <memory>
#include <string>

struct evp_mac_ctx_st;

namespace Requests {

/// Ticket key of the region. It is initialized once, because in OpenSSL initializing a key takes
/// longer than using it. Copies share the key, and several threads may use it concurrently.
struct TicketKey
{
  std::shared_ptr<const evp_mac_ctx_st> mPrepared;
};

/// Creates a ticket key.
/// \param aSecret may have any length.
TicketKey
MakeTicketKey(absl::string_view aSecret);

/// One run of an entry instance.
struct Run
{
  Base::InstanceId mInstance;
  Base::Incarnation mIncarnation;
};

/// \return true if both name the same run. Only the random high 32 bits of the incarnations are
/// compared, because the membership protocol increments the low part to refute a suspicion.
bool
IsSameRun(const Run& aLeft, const Run& aRight);

/// Orders runs by instance and the random part of the incarnation, in line with IsSameRun.
bool
operator<(const Run& aLeft, const Run& aRight);

/// The two addresses that identify a flow.
struct FlowAddresses
{
  Base::Endpoint mCaller;
  Base::Endpoint mService;
};

/// Identifies a flow and its owner. It is opaque to the caller, which sends it with every request.
struct Ticket
{
  Run mOwner;
  Base::FlowNumber mFlow;
  Base::Endpoint mUpstream;
  Base::ServiceGeneration mGeneration;
};

/// Encodes a ticket and appends a truncated HMAC-SHA256 of ticket and addresses. The addresses are
/// included so that a copied ticket is not valid for another caller or service.
std::string
SealTicket(const TicketKey& aKey, const Ticket& aTicket, const FlowAddresses& aAddresses);

/// Verifies and decodes a ticket. The MAC is compared in constant time.
/// \return the ticket, or InvalidArgument if it is corrupt, forged or issued for other addresses.
absl::StatusOr<Ticket>
OpenTicket(const TicketKey& aKey, absl::string_view aSealed, const FlowAddresses& aAddresses);

} // namespace Requests

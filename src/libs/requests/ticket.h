#pragma once

#include "absl/status/statusor.h"
#include "base/endpoint.h"
#include "base/ids.h"

#include "absl/strings/string_view.h"
#include <memory>
#include <string>

struct evp_mac_ctx_st;

namespace Requests {

/// Key of the region for tickets, prepared once because OpenSSL takes longer to prepare a key than
/// to use it. Copies share it, and several threads may use it at once.
struct TicketKey
{
  std::shared_ptr<const evp_mac_ctx_st> mPrepared;
};

/// Prepares a key.
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

/// Route to a flow; the caller sends it with every request and does not read it.
struct Ticket
{
  Run mOwner;
  Base::FlowNumber mFlow;
  Base::Endpoint mUpstream;
  Base::ServiceGeneration mGeneration;
};

/// Encodes a ticket and appends a truncated HMAC-SHA256 over ticket and addresses. The addresses
/// are covered so that a copied ticket is of no use to another caller or service.
std::string
SealTicket(const TicketKey& aKey, const Ticket& aTicket, const FlowAddresses& aAddresses);

/// Checks and decodes a ticket. The code is compared in constant time.
/// \return the ticket, or InvalidArgument if it is damaged, forged or of other addresses.
absl::StatusOr<Ticket>
OpenTicket(const TicketKey& aKey, absl::string_view aSealed, const FlowAddresses& aAddresses);

} // namespace Requests

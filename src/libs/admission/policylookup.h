#pragma once

#include "admission/scheduler.h"

#include <string>

namespace Admission {

/// \return the client's terms, or nullptr for a client that the policy does not name.
const Policy::Client*
FindClient(const Policy& aPolicy, const std::string& aName);

bool
HasKind(const Policy& aPolicy, const std::string& aName);

/// \return the guaranteed part of the service's slots, 0 for an unknown kind.
double
KindShare(const Policy& aPolicy, const std::string& aName);

/// \return the guaranteed part of each kind, 0 for an unknown client. Shares of clients come from
/// terms that grow one by one; if their sum exceeds the service they are scaled down.
double
ClientShare(const Policy& aPolicy, const std::string& aName);

/// \return the share as a weight for borrowing, above 0 also without a share.
double
KindWeight(const Policy& aPolicy, const std::string& aName);

/// \copydoc KindWeight
double
ClientWeight(const Policy& aPolicy, const std::string& aName);

uint32_t
Urgency(const Policy& aPolicy, const std::string& aName);

/// \return the kind's name, or "" for a kind that the policy does not name. All unknown kinds share
/// one queue, so that callers cannot create queues.
std::string
QueueNameOfKind(const Policy& aPolicy, const std::string& aKind);

/// \copydoc QueueNameOfKind
std::string
QueueNameOfClient(const Policy& aPolicy, const std::string& aClient);

} // namespace Admission

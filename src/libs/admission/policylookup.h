#pragma once

#include "admission/scheduler.h"

#include <string>

namespace Admission {

/// \return the entry of a client, or nullptr if the policy does not contain it.
const Policy::Client*
FindClient(const Policy& aPolicy, const std::string& aName);

bool
HasKind(const Policy& aPolicy, const std::string& aName);

/// \return the guaranteed fraction of the slots of the service, or 0 for an unknown kind.
double
KindShare(const Policy& aPolicy, const std::string& aName);

/// \return the guaranteed fraction of each kind, or 0 for an unknown client. The shares of clients
/// grow independently of each other; if their sum exceeds 1, they are scaled down.
double
ClientShare(const Policy& aPolicy, const std::string& aName);

/// \return the weight for borrowing unused slots: the share, or a small value above 0 without one.
double
KindWeight(const Policy& aPolicy, const std::string& aName);

/// \copydoc KindWeight
double
ClientWeight(const Policy& aPolicy, const std::string& aName);

uint32_t
Urgency(const Policy& aPolicy, const std::string& aName);

/// \return the name of the kind, or "" if the policy does not contain it. All unknown kinds share
/// one queue, so that callers cannot create an arbitrary number of queues.
std::string
QueueNameOfKind(const Policy& aPolicy, const std::string& aKind);

/// \copydoc QueueNameOfKind
std::string
QueueNameOfClient(const Policy& aPolicy, const std::string& aClient);

} // namespace Admission

#pragma once

#include "base/strongtype.h"

#include <cstdint>

namespace Base {

/// Number of an entry or control instance, unique in the system and set in its settings.
using InstanceId = StrongType<struct InstanceIdTag, uint32_t>;

/// Identifies one run of an instance; a random high part distinguishes restarts.
using Incarnation = StrongType<struct IncarnationTag, uint64_t>;

/// Version of the configuration; grows by one with each accepted change.
using ConfigVersion = StrongType<struct ConfigVersionTag, uint64_t>;

/// Configuration version that created a service. Distinguishes services that reuse a name
/// or an address.
using ServiceGeneration = StrongType<struct ServiceGenerationTag, uint64_t>;

/// Number of a request flow, unique within the incarnation of its owner.
using FlowNumber = StrongType<struct FlowNumberTag, uint64_t>;

/// Number of a request, chosen by the caller and increasing within a flow.
using RequestNumber = StrongType<struct RequestNumberTag, uint64_t>;

} // namespace Base

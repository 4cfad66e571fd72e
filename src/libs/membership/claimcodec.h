#pragma once

#include "membership/state.h"

namespace Membership {

/// \return the claim as a message. Time points are encoded as ages relative to aNow.
lw::membership::Claim
EncodeClaim(const Claim& aClaim, Base::TimePoint aNow);

/// \return the claim, or nothing if a field is out of range.
std::optional<Claim>
DecodeClaim(const lw::membership::Claim& aMessage, Base::TimePoint aNow);

/// \return the endpoint, or nothing if the port is out of range.
std::optional<Base::Endpoint>
DecodeEndpoint(uint32_t aAddress, uint32_t aPort);

/// \return whole units of 100 ms, rounded up; 0 for a negative duration.
uint32_t
TenthsRoundedUp(Base::Duration aDuration);

} // namespace Membership

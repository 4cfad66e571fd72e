#include "membership/claimcodec.h"

#include <algorithm>

namespace Membership {

namespace {

constexpr Base::Duration kTenth = std::chrono::milliseconds(100);
/// Older starts are encoded as 0. The slow start takes 10 s, so an exact age is not needed beyond
/// that.
constexpr uint32_t kMaxStartAgeTenths = 600;
constexpr uint32_t kMaxPort = 65535;

lw::membership::ClaimState
EncodeState(ClaimState aState)
{
  switch (aState) {
    case ClaimState::Active:
      return lw::membership::CLAIM_ACTIVE;
    case ClaimState::Draining:
      return lw::membership::CLAIM_DRAINING;
    case ClaimState::Left:
      return lw::membership::CLAIM_LEFT;
    case ClaimState::Released:
      break;
  }
  return lw::membership::CLAIM_RELEASED;
}

std::optional<ClaimState>
DecodeState(lw::membership::ClaimState aState)
{
  switch (aState) {
    case lw::membership::CLAIM_ACTIVE:
      return ClaimState::Active;
    case lw::membership::CLAIM_DRAINING:
      return ClaimState::Draining;
    case lw::membership::CLAIM_LEFT:
      return ClaimState::Left;
    case lw::membership::CLAIM_RELEASED:
      return ClaimState::Released;
    default:
      return std::nullopt;
  }
}

} // namespace

uint32_t
TenthsRoundedUp(Base::Duration aDuration)
{
  if (aDuration <= Base::Duration::zero()) {
    return 0;
  }
  return static_cast<uint32_t>((aDuration + kTenth - Base::Duration(1)) / kTenth);
}

std::optional<Base::Endpoint>
DecodeEndpoint(uint32_t aAddress, uint32_t aPort)
{
  if (aPort == 0 || aPort > kMaxPort) {
    return std::nullopt;
  }
  return Base::Endpoint{ aAddress, static_cast<uint16_t>(aPort) };
}

lw::membership::Claim
EncodeClaim(const Claim& aClaim, Base::TimePoint aNow)
{
  lw::membership::Claim message;
  message.set_counter(aClaim.mCounter);
  message.set_address(aClaim.mEndpoint.mAddress);
  message.set_port(aClaim.mEndpoint.mPort);
  message.set_service(aClaim.mService);
  message.set_generation(aClaim.mGeneration.mValue);
  message.set_start_id(aClaim.mStartId);
  message.set_sequence(aClaim.mPublishedSequence);
  message.set_state(EncodeState(aClaim.mState));
  message.set_overdue(aClaim.mOverdue);
  message.set_slots(aClaim.mSlots);
  message.set_load(aClaim.mLoad);
  // Rounding down makes the hold-down end later, never earlier.
  const auto age = std::max<int64_t>((aNow - aClaim.mStartedAt) / kTenth, 0);
  message.set_start_age_tenths(age < kMaxStartAgeTenths ? static_cast<uint32_t>(age) + 1 : 0);
  return message;
}

std::optional<Claim>
DecodeClaim(const lw::membership::Claim& aMessage, Base::TimePoint aNow)
{
  const std::optional<Base::Endpoint> endpoint =
    DecodeEndpoint(aMessage.address(), aMessage.port());
  const std::optional<ClaimState> state = DecodeState(aMessage.state());
  if (!endpoint || !state) {
    return std::nullopt;
  }
  Claim claim;
  claim.mCounter = aMessage.counter();
  claim.mEndpoint = *endpoint;
  claim.mService = aMessage.service();
  claim.mGeneration = Base::ServiceGeneration(aMessage.generation());
  claim.mStartId = aMessage.start_id();
  claim.mSequence = aMessage.sequence();
  claim.mPublishedSequence = aMessage.sequence();
  claim.mState = *state;
  claim.mOverdue = aMessage.overdue();
  claim.mSlots = aMessage.slots();
  claim.mLoad = aMessage.load();
  claim.mLoadAt = aNow;
  const uint32_t age = aMessage.start_age_tenths();
  claim.mStartedAt =
    aNow - kTenth * (age == 0 ? kMaxStartAgeTenths : std::min(age - 1, kMaxStartAgeTenths));
  claim.mRenewedAt = aNow;
  return claim;
}

} // namespace Membership

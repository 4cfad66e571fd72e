#include "directory/upstream.h"

#include "base/hash.h"

#include <algorithm>
#include <chrono>

namespace Directory {

namespace {

using std::chrono::milliseconds;

lw::fleet::UpstreamState
ToMessage(State aState)
{
  switch (aState) {
    case State::Ready:
      return lw::fleet::READY;
    case State::Draining:
      return lw::fleet::DRAINING;
    case State::Gone:
      break;
  }
  return lw::fleet::GONE;
}

State
FromMessage(lw::fleet::UpstreamState aState)
{
  switch (aState) {
    case lw::fleet::READY:
      return State::Ready;
    case lw::fleet::DRAINING:
      return State::Draining;
    default:
      return State::Gone;
  }
}

uint32_t
ClampToMilliseconds(Base::Duration aDuration)
{
  const auto count = std::chrono::duration_cast<milliseconds>(aDuration).count();
  return static_cast<uint32_t>(std::clamp<int64_t>(count, 0, UINT32_MAX));
}

} // namespace

RouteTag
TagOf(UpstreamId aId, uint64_t aStartedAtMs)
{
  const uint64_t hash = Base::StableHash({ aId.mValue, aStartedAtMs });
  const auto tag = static_cast<uint32_t>(hash ^ (hash >> 32U));
  return RouteTag(tag == 0 ? 1 : tag);
}

lw::fleet::Upstream
ToMessage(const Upstream& aUpstream, Base::Duration aAge, Base::TimePoint aNow)
{
  lw::fleet::Upstream message;
  message.set_id(aUpstream.mId.mValue);
  message.set_started_at_ms(aUpstream.mStartedAtMs);
  message.set_address(aUpstream.mAddress.mAddress);
  message.set_port(aUpstream.mAddress.mPort);
  message.set_service(aUpstream.mService);
  message.set_availability_zone(aUpstream.mAvailabilityZone);
  message.set_slots(aUpstream.mSlots);
  message.set_state(ToMessage(aUpstream.mState));
  message.set_cold_remaining_ms(ClampToMilliseconds(aUpstream.mColdUntil - aNow));
  message.set_age_ms(ClampToMilliseconds(aAge));
  return message;
}

Upstream
FromMessage(const lw::fleet::Upstream& aMessage, Base::TimePoint aNow)
{
  Upstream upstream;
  upstream.mId = UpstreamId(aMessage.id());
  upstream.mStartedAtMs = aMessage.started_at_ms();
  upstream.mAddress = { aMessage.address(), static_cast<uint16_t>(aMessage.port()) };
  upstream.mService = aMessage.service();
  upstream.mAvailabilityZone = aMessage.availability_zone();
  upstream.mSlots = std::max(aMessage.slots(), 1U);
  upstream.mState = FromMessage(aMessage.state());
  upstream.mColdUntil = aNow + milliseconds(aMessage.cold_remaining_ms());
  return upstream;
}

} // namespace Directory

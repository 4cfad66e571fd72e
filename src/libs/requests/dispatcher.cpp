#include "requests/dispatcher.h"

#include "requests/handover.h"
#include "requests/progress.h"
#include "requests/replies.h"
#include "requests/routing.h"

namespace Requests {

namespace {

// Succession notices are not acknowledged; repeating them makes it likely that all peers receive
// one.
constexpr uint32_t kMinNotices = 5;

void
HandleForwarded(Internal::HandlerContext& aHandler, const PeerMessage& aMessage)
{
  const lw::requestpeer::Forwarded& forwarded = aMessage.mPacket.forwarded();
  const CallerMessage& inner = aMessage.mForwarded;
  if (!inner.mPacket.has_open()) {
    Internal::RouteByTicket(aHandler, inner, forwarded.hops());
    return;
  }
  const auto& services = aHandler.mContext.mServices.mByAddress;
  const auto service = services.find(inner.mAddresses.mService);
  if (service == services.end()) {
    Internal::CountEvent(aHandler.mEffects, Event::DropUnknownService);
  } else if (service->second->mGeneration.mValue != forwarded.generation()) {
    // One of the two instances has an older configuration; the caller will resend the OpenFlow.
    Internal::CountEvent(aHandler.mEffects, Event::DropGenerationDiffers);
  } else {
    Internal::RouteOpen(aHandler, inner, *aMessage.mUpstream, forwarded.hops());
  }
}

} // namespace

Effects
HandleCallerMessage(State& aState,
                    const Context& aContext,
                    const CallerMessage& aMessage,
                    const std::optional<Base::Endpoint>& aUpstream)
{
  Effects effects;
  Internal::HandlerContext handler{ aState, aContext, effects, {} };
  if (!aMessage.mPacket.has_open()) {
    Internal::RouteByTicket(handler, aMessage, 0);
  } else if (aUpstream.has_value()) {
    Internal::RouteOpen(handler, aMessage, *aUpstream, 0);
  } else {
    Internal::RefuseOpen(
      effects, aMessage.mAddresses, aMessage.mPacket.open().open_id(), Event::OpenNoUpstream);
  }
  Internal::ApplySchedulerEffects(handler);
  return effects;
}

Effects
HandlePeerMessage(State& aState, const Context& aContext, const PeerMessage& aMessage)
{
  Effects effects;
  Internal::HandlerContext handler{ aState, aContext, effects, {} };
  const lw::requestpeer::RequestPeerPacket& packet = aMessage.mPacket;
  if (packet.has_forwarded()) {
    HandleForwarded(handler, aMessage);
  } else if (packet.has_transfer()) {
    Internal::AcceptTransfer(handler, packet.transfer());
  } else if (packet.has_confirmed()) {
    Internal::AcceptConfirmation(handler, packet.confirmed());
  } else if (packet.has_rejected()) {
    Internal::AcceptRejection(handler, packet.rejected());
  } else if (packet.has_succession()) {
    Internal::AcceptSuccession(aState,
                               Internal::FromMessage(packet.succession().owner()),
                               Internal::FromMessage(packet.succession().successor()),
                               aContext.mNow);
  }
  Internal::ApplySchedulerEffects(handler);
  return effects;
}

Effects
HandleUpstreamPacket(State& aState,
                     const Context& aContext,
                     const Base::Endpoint& aSender,
                     const lw::upstream::FromUpstream& aPacket)
{
  Effects effects;
  Internal::HandlerContext handler{ aState, aContext, effects, {} };
  Internal::HandleFromUpstream(handler, aSender, aPacket);
  Internal::ApplySchedulerEffects(handler);
  return effects;
}

Effects
Tick(State& aState, const Context& aContext)
{
  Effects effects;
  Internal::HandlerContext handler{ aState, aContext, effects, {} };
  Internal::TickCalls(handler);
  Internal::TickHandover(handler);
  Internal::ApplySchedulerEffects(handler);
  return effects;
}

Effects
BeginLeave(State& aState, const Context& aContext)
{
  Effects effects;
  Internal::HandlerContext handler{ aState, aContext, effects, {} };
  Internal::BeginHandover(handler);
  Internal::ApplySchedulerEffects(handler);
  return effects;
}

bool
IsDrained(const State& aState)
{
  const Handover& handover = aState.mHandover;
  if (!handover.mIsLeaving || !aState.mCalls.empty()) {
    return false;
  }
  if (!handover.mSuccessor.has_value()) {
    return true;
  }
  const bool hasNotified = aState.mShard != 0 || handover.mNotices >= kMinNotices;
  return hasNotified && aState.mFlows.mFlows.empty() && handover.mPending.empty();
}

} // namespace Requests

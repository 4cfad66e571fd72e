#include "requests/dispatcher.h"

#include "requests/handover.h"
#include "requests/progress.h"
#include "requests/replies.h"
#include "requests/routing.h"

namespace Requests {

namespace {

// Notices of the succession are not confirmed; several make it likely that all peers know it.
constexpr uint32_t kMinNotices = 5;

void
HandleForwarded(Internal::Work& aWork, const PeerMessage& aMessage)
{
  const lw::requestpeer::Forwarded& forwarded = aMessage.mPacket.forwarded();
  const CallerMessage& inner = aMessage.mForwarded;
  if (!inner.mPacket.has_open()) {
    Internal::RouteTicketed(aWork, inner, forwarded.hops());
    return;
  }
  const auto& services = aWork.mContext.mServices.mByAddress;
  const auto service = services.find(inner.mAddresses.mService);
  if (service == services.end()) {
    Internal::CountEvent(aWork.mEffects, Event::DropUnknownService);
  } else if (service->second->mGeneration.mValue != forwarded.generation()) {
    // One of the two instances has an older configuration; the caller sends the OpenFlow again.
    Internal::CountEvent(aWork.mEffects, Event::DropGenerationDiffers);
  } else {
    Internal::RouteOpen(aWork, inner, *aMessage.mUpstream, forwarded.hops());
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
  Internal::Work work{ aState, aContext, effects, {} };
  if (!aMessage.mPacket.has_open()) {
    Internal::RouteTicketed(work, aMessage, 0);
  } else if (aUpstream.has_value()) {
    Internal::RouteOpen(work, aMessage, *aUpstream, 0);
  } else {
    Internal::RefuseOpen(
      effects, aMessage.mAddresses, aMessage.mPacket.open().open_id(), Event::OpenNoUpstream);
  }
  Internal::Drain(work);
  return effects;
}

Effects
HandlePeerMessage(State& aState, const Context& aContext, const PeerMessage& aMessage)
{
  Effects effects;
  Internal::Work work{ aState, aContext, effects, {} };
  const lw::requestpeer::RequestPeerPacket& packet = aMessage.mPacket;
  if (packet.has_forwarded()) {
    HandleForwarded(work, aMessage);
  } else if (packet.has_transfer()) {
    Internal::AcceptTransfer(work, packet.transfer());
  } else if (packet.has_confirmed()) {
    Internal::AcceptConfirmation(work, packet.confirmed());
  } else if (packet.has_rejected()) {
    Internal::AcceptRejection(work, packet.rejected());
  } else if (packet.has_succession()) {
    Internal::AcceptSuccession(aState,
                               Internal::FromMessage(packet.succession().owner()),
                               Internal::FromMessage(packet.succession().successor()),
                               aContext.mNow);
  }
  Internal::Drain(work);
  return effects;
}

Effects
HandleUpstreamPacket(State& aState,
                     const Context& aContext,
                     const Base::Endpoint& aSender,
                     const lw::upstream::FromUpstream& aPacket)
{
  Effects effects;
  Internal::Work work{ aState, aContext, effects, {} };
  Internal::HandleFromUpstream(work, aSender, aPacket);
  Internal::Drain(work);
  return effects;
}

Effects
Tick(State& aState, const Context& aContext)
{
  Effects effects;
  Internal::Work work{ aState, aContext, effects, {} };
  Internal::TickCalls(work);
  Internal::TickHandover(work);
  Internal::Drain(work);
  return effects;
}

Effects
BeginLeave(State& aState, const Context& aContext)
{
  Effects effects;
  Internal::Work work{ aState, aContext, effects, {} };
  Internal::BeginHandover(work);
  Internal::Drain(work);
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
